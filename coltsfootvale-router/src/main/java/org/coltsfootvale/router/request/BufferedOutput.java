package org.coltsfootvale.router.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.router.backend.EngineChunk;
import org.jspecify.annotations.Nullable;

/** Collects an engine's chunks into one answer. */
final class BufferedOutput implements ChatOutput {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Answer answer;
  private final String requestId;
  private final String model;
  private final StringBuilder text = new StringBuilder();
  private @Nullable String finishReason;
  private EngineChunk.@Nullable Usage usage;
  private String continuation = "";

  BufferedOutput(Answer answer, String requestId, String model) {
    this.answer = answer;
    this.requestId = requestId;
    this.model = model;
  }

  private record Completion(
      String id,
      String object,
      String model,
      List<Choice> choices,
      EngineChunk.@Nullable Usage usage) {}

  private record Choice(
      int index, Message message, @JsonProperty("finish_reason") @Nullable String finishReason) {}

  private record Message(String role, String content) {}

  @Override
  public void chunk(EngineChunk chunk, String json, String lastContinuation) {
    text.append(chunk.content());
    if (chunk.finishReason() != null) {
      finishReason = chunk.finishReason();
      usage = chunk.usage();
      continuation = lastContinuation;
    }
  }

  @Override
  public void end() {
    byte[] body = json();
    Headers.Builder headers =
        new Headers.Builder()
            .add("Content-Type", "application/json")
            .add("Content-Length", Integer.toString(body.length));
    if (!continuation.isEmpty()) {
      headers.add(CallerHeaders.CONTINUATION, continuation);
    }
    answer.head(200, headers.build());
    answer.body(body, body.length);
    answer.end();
  }

  private byte[] json() {
    Message message = new Message("assistant", text.toString());
    Choice choice = new Choice(0, message, finishReason);
    try {
      return MAPPER.writeValueAsBytes(
          new Completion(requestId, "chat.completion", model, List.of(choice), usage));
    } catch (JsonProcessingException e) {
      throw new ColtsfootvaleException(
          ErrorKind.INTERNAL, Outcome.UNKNOWN, "the answer could not be written", null, e);
    }
  }

  @Override
  public boolean deliveryStarted() {
    return false;
  }

  @Override
  public void reset() {
    text.setLength(0);
    finishReason = null;
    usage = null;
    continuation = "";
  }
}
