package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineLoad;
import org.jspecify.annotations.Nullable;

/**
 * Tracks one router's own load on one engine and estimates the engine's total load: the newest
 * report plus this router's changes since then. Guarded by its own lock.
 */
final class EngineLoadTracker {

  private final DispatchHistory history = new DispatchHistory();
  private int outstandingRequests;
  private long queuedTokens;
  private @Nullable EngineLoad report;
  private int requestsAtReport;
  private long tokensAtReport;

  /** Adds a dispatched request. */
  synchronized void add(long nowMillis, long promptTokens) {
    outstandingRequests++;
    queuedTokens += promptTokens;
    history.record(nowMillis, 1, promptTokens);
  }

  /** Removes prefilled prompt tokens from the queue. */
  synchronized void prefilled(long nowMillis, long promptTokens) {
    queuedTokens -= promptTokens;
    history.record(nowMillis, 0, -promptTokens);
  }

  /** Removes a finished request and its prompt tokens that are still counted as queued. */
  synchronized void remove(long nowMillis, long promptTokensQueued) {
    outstandingRequests--;
    queuedTokens -= promptTokensQueued;
    history.record(nowMillis, -1, -promptTokensQueued);
  }

  /** Returns this router's own load. */
  synchronized LoadEstimate own() {
    return new LoadEstimate(outstandingRequests, queuedTokens, false);
  }

  /** Returns the estimate from the sum of the peers' loads. */
  synchronized LoadEstimate estimate(DispatchCounts.Count peers) {
    return new LoadEstimate(
        outstandingRequests + peers.outstandingRequests(),
        queuedTokens + peers.queuedTokens(),
        true);
  }

  /**
   * Returns the estimate from the newest report, or from this router's own load if there is none.
   */
  synchronized LoadEstimate estimate(@Nullable EngineLoad newest) {
    if (newest == null) {
      return new LoadEstimate(outstandingRequests, queuedTokens, false);
    }
    if (!newest.equals(report)) {
      rebase(newest);
    }
    int requests = newest.outstandingRequests() + outstandingRequests - requestsAtReport;
    long tokens = newest.queuedTokens() + queuedTokens - tokensAtReport;
    return new LoadEstimate(
        Math.max(requests, outstandingRequests), Math.max(tokens, queuedTokens), false);
  }

  private void rebase(EngineLoad newest) {
    long reportedAtMillis = newest.reportedAt().toEpochMilli();
    report = newest;
    requestsAtReport = outstandingRequests - history.requestsSince(reportedAtMillis);
    tokensAtReport = queuedTokens - history.tokensSince(reportedAtMillis);
  }
}
