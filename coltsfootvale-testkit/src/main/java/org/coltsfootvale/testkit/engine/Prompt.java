package org.coltsfootvale.testkit.engine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request for a completion.
 *
 * @param model the model
 * @param chat the chat's id
 * @param messages all messages of the chat so far, at least one
 * @param maxTokens the maximum number of tokens of the answer, at least 1
 * @param stream whether the answer is streamed
 */
public record Prompt(
    String model, String chat, List<Message> messages, int maxTokens, boolean stream) {

  private static final int MAX_TOKENS_DEFAULT = 64;

  /** Copies the messages. */
  public Prompt {
    messages = List.copyOf(messages);
  }

  /**
   * Reads a request body.
   *
   * @param chat the chat's id, or null to derive it from the first message
   * @throws IllegalArgumentException if the model or the messages are missing
   */
  static Prompt read(JsonNode body, @Nullable String chat) {
    String model = body.path("model").asText("");
    List<Message> messages = new ArrayList<>();
    for (JsonNode message : body.path("messages")) {
      messages.add(
          new Message(message.path("role").asText(""), message.path("content").asText("")));
    }
    if (model.isEmpty() || messages.isEmpty()) {
      throw new IllegalArgumentException("the body needs 'model' and at least one of 'messages'");
    }
    String named = chat == null ? Long.toHexString(messages.get(0).hash()) : chat;
    int maxTokens = Math.max(1, body.path("max_tokens").asInt(MAX_TOKENS_DEFAULT));
    return new Prompt(model, named, messages, maxTokens, body.path("stream").asBoolean(false));
  }

  /** Returns the number of tokens of all messages. */
  public int tokens() {
    return messages.stream().mapToInt(Message::tokens).sum();
  }

  /** Returns a hash of the model and all messages. */
  long hash() {
    HashStream64 stream = Hashing.komihash5_0().hashStream().putString(model);
    messages.forEach(message -> stream.putLong(message.hash()));
    return stream.getAsLong();
  }
}
