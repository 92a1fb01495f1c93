package org.coltsfootvale.testkit.engine;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the answers of the engine stand-ins. An answer depends only on the model, the messages
 * and the maximum length, so that a caller can verify every byte of it.
 */
public final class AnswerText {

  private static final int LETTERS_PER_TOKEN = 3;
  private static final int ALPHABET = 26;
  private static final int SHORT_TOKENS_MAX = 8;

  private AnswerText() {}

  /** Returns the tokens of the answer to a prompt, four characters each. */
  public static List<String> tokens(Prompt prompt) {
    return tokens(prompt.hash(), prompt.maxTokens());
  }

  /** Returns the complete answer to a prompt. */
  public static String text(Prompt prompt) {
    return String.join("", tokens(prompt));
  }

  /** Returns the tokens of the answer to the prompt with the given hash. */
  static List<String> tokens(long hash, int maxTokens) {
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(hash);
    int length = maxTokens;
    if (maxTokens > SHORT_TOKENS_MAX) {
      length = maxTokens / 2 + random.nextInt(maxTokens / 2);
    }
    List<String> tokens = new ArrayList<>(length);
    for (int i = 0; i < length; i++) {
      tokens.add(token(random));
    }
    return tokens;
  }

  private static String token(UniformRandomProvider random) {
    StringBuilder token = new StringBuilder();
    for (int i = 0; i < LETTERS_PER_TOKEN; i++) {
      token.append((char) ('a' + random.nextInt(ALPHABET)));
    }
    return token.append(' ').toString();
  }
}
