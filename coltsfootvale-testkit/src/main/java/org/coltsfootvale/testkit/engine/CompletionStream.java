package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.ResponseStream;

/**
 * Writes the answer to a request, as a stream of chunks or in one piece, and applies its faults.
 */
final class CompletionStream implements Completion.Listener {

  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
  private static final int NEVER = Integer.MAX_VALUE;

  private final ResponseStream response;
  private final String responseId;
  private final Prompt prompt;
  private final int firstIndex;
  private int cutAtIndex = NEVER;
  private int silenceAtIndex = NEVER;

  CompletionStream(ResponseStream response, String responseId, Prompt prompt, int firstIndex) {
    this.response = response;
    this.responseId = responseId;
    this.prompt = prompt;
    this.firstIndex = firstIndex;
  }

  /** Closes the connection half-way through the answer. */
  void truncate(int answerTokens) {
    cutAtIndex = answerTokens / 2;
  }

  /** Stops writing half-way through the answer. */
  void silenceHalfWay(int answerTokens) {
    silenceAtIndex = answerTokens / 2;
  }

  @Override
  public void onToken(int index, String text) {
    if (index >= cutAtIndex) {
      response.cut();
    } else if (index >= silenceAtIndex) {
      response.silence();
    } else if (prompt.stream() && index >= firstIndex) {
      response.write(event(chunk(index, text)));
    }
  }

  @Override
  public void onEnd(Completion completion) {
    if (completion.state() == Completion.State.CANCELLED) {
      response.cut();
      return;
    }
    if (prompt.stream()) {
      ObjectNode last = chunk(completion.answer().size(), "");
      ((ObjectNode) last.path("choices").path(0)).put("finish_reason", "stop");
      last.set("usage", usage(completion));
      response.write(event(last));
      response.write(DONE);
    } else {
      response.write(Json.writeLine(completeAnswer(completion)));
    }
    response.end();
  }

  private ObjectNode chunk(int index, String text) {
    ObjectNode chunk =
        Json.object()
            .put("id", responseId)
            .put("object", "chat.completion.chunk")
            .put("model", prompt.model())
            .put("index", index);
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta").put("content", text);
    choice.putNull("finish_reason");
    return chunk;
  }

  private ObjectNode completeAnswer(Completion completion) {
    ObjectNode answer =
        Json.object()
            .put("id", responseId)
            .put("object", "chat.completion")
            .put("model", prompt.model());
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    choice
        .putObject("message")
        .put("role", "assistant")
        .put("content", String.join("", completion.answer()));
    choice.put("finish_reason", "stop");
    answer.set("usage", usage(completion));
    return answer;
  }

  private static ObjectNode usage(Completion completion) {
    ObjectNode usage =
        Json.object()
            .put("prompt_tokens", completion.prompt().tokens())
            .put("completion_tokens", completion.answer().size());
    usage.putObject("prompt_tokens_details").put("cached_tokens", completion.cachedTokens());
    return usage;
  }

  private static byte[] event(ObjectNode data) {
    return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
