package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.jspecify.annotations.Nullable;

/** Prints a streamed answer while it comes, and checks that it came whole. */
final class AnswerPrinter extends EventSourceListener {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DONE = "[DONE]";

  private final Output output;
  private final StringBuilder text = new StringBuilder();
  private String continuation = "";
  private boolean whole;
  private @Nullable CliException failure;

  AnswerPrinter(Output output) {
    this.output = output;
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    if ("error".equals(type)) {
      failure = RouterClient.problem(0, data);
    } else if (data.equals(DONE)) {
      whole = true;
    } else {
      print(data);
    }
  }

  @Override
  public void onFailure(
      EventSource source, @Nullable Throwable error, @Nullable Response response) {
    if (failure == null && !whole) {
      failure = broken(error == null ? "the stream ended early" : error.toString());
    }
  }

  /**
   * Prints the end of the answer.
   *
   * @throws CliException if the answer is not whole
   */
  void finish(String requestId) {
    output.piece("\n");
    CliException seen = failure;
    if (seen != null) {
      throw seen;
    }
    if (!whole) {
      throw broken("the stream ended without its end marker");
    }
    if (output.json()) {
      ObjectNode result = Output.object().put("text", text.toString()).put("whole", true);
      result.put("requestId", requestId).put("continuation", continuation);
      output.result(result, "");
    } else {
      output.remark("continuation " + continuation);
    }
  }

  private void print(String data) {
    try {
      JsonNode chunk = MAPPER.readTree(data);
      String piece = chunk.path("choices").path(0).path("delta").path("content").asText("");
      text.append(piece);
      output.piece(piece);
      continuation = chunk.path("coltsfootvale").path("continuation").asText(continuation);
    } catch (JsonProcessingException e) {
      failure = broken("a chunk is not JSON");
    }
  }

  private static CliException broken(String detail) {
    return new CliException(
        ExitCode.OUTCOME_UNKNOWN,
        "INCOMPLETE_ANSWER",
        detail,
        "What was printed is not the whole answer; ask again if the request may be repeated.");
  }
}
