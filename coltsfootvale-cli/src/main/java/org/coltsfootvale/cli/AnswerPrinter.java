package org.coltsfootvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.jspecify.annotations.Nullable;

/** Prints a streamed answer as it arrives and checks that it is complete. */
final class AnswerPrinter extends EventSourceListener {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DONE = "[DONE]";

  private final Output output;
  private final StringBuilder text = new StringBuilder();
  private String continuation = "";
  private boolean complete;
  private @Nullable CliException failure;

  AnswerPrinter(Output output) {
    this.output = output;
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    if ("error".equals(type)) {
      failure = RouterClient.problem(0, data);
    } else if (data.equals(DONE)) {
      complete = true;
    } else {
      printChunk(data);
    }
  }

  @Override
  public void onFailure(
      EventSource source, @Nullable Throwable error, @Nullable Response response) {
    if (failure == null && !complete) {
      failure =
          incompleteAnswer(
              error == null ? "the stream ended before the answer was complete" : error.toString());
    }
  }

  /**
   * Prints the end of the answer.
   *
   * @throws CliException if the answer is incomplete or ended with an error
   */
  void finish(String requestId) {
    output.printPartial("\n");
    CliException cause = failure;
    if (cause != null) {
      throw cause;
    }
    if (!complete) {
      throw incompleteAnswer("the stream ended without its end marker");
    }
    if (output.json()) {
      ObjectNode result = Output.object().put("text", text.toString()).put("whole", true);
      result.put("requestId", requestId).put("continuation", continuation);
      output.printResult(result, "");
    } else {
      output.printNotice("continuation " + continuation);
    }
  }

  private void printChunk(String data) {
    try {
      JsonNode chunk = MAPPER.readTree(data);
      String content = chunk.path("choices").path(0).path("delta").path("content").asText("");
      text.append(content);
      output.printPartial(content);
      continuation = chunk.path("coltsfootvale").path("continuation").asText(continuation);
    } catch (JsonProcessingException e) {
      failure = incompleteAnswer("a chunk of the stream is not valid JSON");
    }
  }

  private static CliException incompleteAnswer(String detail) {
    return new CliException(
        ExitCode.OUTCOME_UNKNOWN,
        "INCOMPLETE_ANSWER",
        detail,
        "The printed answer is incomplete; send the request again if it may be repeated.");
  }
}
