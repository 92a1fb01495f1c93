package org.coltsfootvale.testkit.engine;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * A message of a chat.
 *
 * @param role the role of the author
 * @param content the text
 */
public record Message(String role, String content) {

  private static final int CHARACTERS_PER_TOKEN = 4;

  /** Returns the number of tokens: four characters each, rounded up. */
  public int tokens() {
    return (content.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  /** Returns a hash of the message. */
  public long hash() {
    return Hashing.komihash5_0().hashStream().putString(role).putString(content).getAsLong();
  }
}
