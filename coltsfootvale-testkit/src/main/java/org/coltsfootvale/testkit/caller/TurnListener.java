package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.coltsfootvale.testkit.support.Json;
import org.jspecify.annotations.Nullable;

/** Collects one streamed answer and tells how it ended. */
final class TurnListener extends EventSourceListener {

  private static final String DONE = "[DONE]";
  private static final long RETRY_MILLIS_DEFAULT = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final Tally tally;
  private final String kind;
  private final long startedNanos;
  private final TurnEnd onEnd;
  private final StringBuilder text = new StringBuilder();
  private String continuation = "";
  private long lastChunkNanos;
  private boolean ended;
  private boolean askAgain;

  TurnListener(Tally tally, String kind, long startedNanos, TurnEnd onEnd) {
    this.tally = tally;
    this.kind = kind;
    this.startedNanos = startedNanos;
    this.onEnd = onEnd;
  }

  @Override
  public void onOpen(EventSource source, Response response) {
    askAgain = "true".equals(response.header("Coltsfootvale-Ask-Again"));
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    if ("error".equals(type)) {
      end(outcome(Json.parseObject(data)), RETRY_MILLIS_DEFAULT);
    } else if (data.equals(DONE)) {
      end(TurnOutcome.WHOLE, 0);
    } else {
      take(Json.parseObject(data));
    }
  }

  @Override
  public void onClosed(EventSource source) {
    end(TurnOutcome.TRUNCATED, RETRY_MILLIS_DEFAULT);
  }

  @Override
  public void onFailure(
      EventSource source, @Nullable Throwable error, @Nullable Response response) {
    if (response == null) {
      end(
          error instanceof java.net.ConnectException
              ? TurnOutcome.UNREACHABLE
              : TurnOutcome.CONNECTION_LOST,
          RETRY_MILLIS_DEFAULT);
      return;
    }
    askAgain = "true".equals(response.header("Coltsfootvale-Ask-Again"));
    if (response.isSuccessful()) {
      end(TurnOutcome.CONNECTION_LOST, RETRY_MILLIS_DEFAULT);
      return;
    }
    end(refusal(response), retryMillis(response));
  }

  private void take(JsonNode chunk) {
    String piece = chunk.path("choices").path(0).path("delta").path("content").asText("");
    continuation = chunk.path("coltsfootvale").path("continuation").asText(continuation);
    if (!piece.isEmpty()) {
      long now = System.nanoTime();
      if (text.length() == 0) {
        tally.record("first token " + kind, now - startedNanos);
      } else {
        tally.record("between tokens", now - lastChunkNanos);
      }
      lastChunkNanos = now;
      text.append(piece);
    }
  }

  private TurnOutcome refusal(Response response) {
    try {
      return outcome(Json.parseObject(response.body().string()));
    } catch (java.io.IOException | IllegalArgumentException | IllegalStateException e) {
      return TurnOutcome.UNKNOWN;
    }
  }

  private TurnOutcome outcome(JsonNode problem) {
    tally.count("problem", problem.path("title").asText("none"));
    return problem.path("outcome").asText().equals("not_run")
        ? TurnOutcome.NOT_RUN
        : TurnOutcome.UNKNOWN;
  }

  private static long retryMillis(Response response) {
    String seconds = response.header("Retry-After");
    return seconds == null
        ? RETRY_MILLIS_DEFAULT
        : Math.max(1, Long.parseLong(seconds)) * MILLIS_PER_SECOND;
  }

  private void end(TurnOutcome outcome, long retryMillis) {
    if (!ended) {
      ended = true;
      onEnd.onEnd(new TurnResult(outcome, text.toString(), continuation, retryMillis, askAgain));
    }
  }

  /** Hears of the end of an answer, once. */
  interface TurnEnd {

    void onEnd(TurnResult result);
  }

  /**
   * How an answer ended.
   *
   * @param outcome the outcome as far as the stream tells
   * @param text the text received
   * @param continuation the continuation token, empty if none came
   * @param retryMillis how long to wait before asking again
   * @param askAgain whether the router wants the entry answer to be asked anew
   */
  record TurnResult(
      TurnOutcome outcome, String text, String continuation, long retryMillis, boolean askAgain) {}
}
