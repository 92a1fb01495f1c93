package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import org.coltsfootvale.testkit.support.Json;
import org.jspecify.annotations.Nullable;

/** Collects a streamed answer and reports its result. */
final class TurnListener extends EventSourceListener {

  private static final String DONE = "[DONE]";
  private static final long RETRY_MILLIS_DEFAULT = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final CallerStatistics statistics;
  private final String kind;
  private final long startedNanos;
  private final TurnEndListener onEnd;
  private final StringBuilder text = new StringBuilder();
  private String continuation = "";
  private long lastChunkNanos;
  private boolean ended;
  private boolean refreshEntry;

  TurnListener(CallerStatistics statistics, String kind, long startedNanos, TurnEndListener onEnd) {
    this.statistics = statistics;
    this.kind = kind;
    this.startedNanos = startedNanos;
    this.onEnd = onEnd;
  }

  @Override
  public void onOpen(EventSource source, Response response) {
    refreshEntry = "true".equals(response.header("Coltsfootvale-Ask-Again"));
  }

  @Override
  public void onEvent(EventSource source, @Nullable String id, @Nullable String type, String data) {
    if ("error".equals(type)) {
      end(outcome(Json.parseObject(data)), RETRY_MILLIS_DEFAULT);
    } else if (data.equals(DONE)) {
      end(TurnOutcome.WHOLE, 0);
    } else {
      onChunk(Json.parseObject(data));
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
    refreshEntry = "true".equals(response.header("Coltsfootvale-Ask-Again"));
    if (response.isSuccessful()) {
      end(TurnOutcome.CONNECTION_LOST, RETRY_MILLIS_DEFAULT);
      return;
    }
    end(refusal(response), retryMillis(response));
  }

  private void onChunk(JsonNode chunk) {
    String content = chunk.path("choices").path(0).path("delta").path("content").asText("");
    continuation = chunk.path("coltsfootvale").path("continuation").asText(continuation);
    if (!content.isEmpty()) {
      long now = System.nanoTime();
      if (text.length() == 0) {
        statistics.record("first token " + kind, now - startedNanos);
      } else {
        statistics.record("between tokens", now - lastChunkNanos);
      }
      lastChunkNanos = now;
      text.append(content);
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
    statistics.count("problem", problem.path("title").asText("none"));
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
      onEnd.onEnd(
          new TurnResult(outcome, text.toString(), continuation, retryMillis, refreshEntry));
    }
  }

  /** Called once at the end of an answer. */
  interface TurnEndListener {

    void onEnd(TurnResult result);
  }

  /**
   * The result of a request.
   *
   * @param outcome the outcome according to the stream
   * @param text the text received
   * @param continuation the continuation token, empty if none was received
   * @param retryMillis the retry delay in milliseconds
   * @param refreshEntry whether the router requests a refresh of the entry answer
   */
  record TurnResult(
      TurnOutcome outcome,
      String text,
      String continuation,
      long retryMillis,
      boolean refreshEntry) {}
}
