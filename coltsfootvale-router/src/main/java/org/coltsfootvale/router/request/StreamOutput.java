package org.coltsfootvale.router.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.router.backend.EngineChunk;

/** Streams an engine's chunks as server-sent events. */
final class StreamOutput implements ChatOutput {

  private static final Headers HEADERS =
      Headers.of("Content-Type", "text/event-stream;charset=utf-8", "Cache-Control", "no-cache");
  private static final byte[] END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Answer answer;

  StreamOutput(Answer answer) {
    this.answer = answer;
  }

  @Override
  public void chunk(EngineChunk chunk, String json, String continuation) {
    if (!answer.started()) {
      answer.head(200, HEADERS);
    }
    String data = continuation.isEmpty() ? json : withContinuation(json, continuation);
    byte[] event = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    answer.body(event, event.length);
  }

  private static String withContinuation(String json, String continuation) {
    try {
      ObjectNode chunk = (ObjectNode) MAPPER.readTree(json);
      chunk.putObject("coltsfootvale").put("continuation", continuation);
      return MAPPER.writeValueAsString(chunk);
    } catch (JsonProcessingException e) {
      throw new ColtsfootvaleException(
          ErrorKind.INTERNAL,
          org.coltsfootvale.core.error.Outcome.UNKNOWN,
          "the last chunk could not be written",
          null,
          e);
    }
  }

  @Override
  public void end() {
    answer.body(END_EVENT, END_EVENT.length);
    answer.end();
  }

  @Override
  public boolean deliveryStarted() {
    return answer.started();
  }

  @Override
  public void reset() {}
}
