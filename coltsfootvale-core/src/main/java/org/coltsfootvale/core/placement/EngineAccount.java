package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineLoad;
import org.jspecify.annotations.Nullable;

/**
 * One router's own load on one engine, and the estimate of the engine's whole load: the newest
 * report plus what this router has added and taken away since. Guarded by its own lock.
 */
final class EngineAccount {

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

  /** Takes prefilled prompt tokens out of the queue. */
  synchronized void prefilled(long nowMillis, long promptTokens) {
    queuedTokens -= promptTokens;
    history.record(nowMillis, 0, -promptTokens);
  }

  /** Removes a finished request with the prompt tokens still counted as queued. */
  synchronized void remove(long nowMillis, long promptTokensLeft) {
    outstandingRequests--;
    queuedTokens -= promptTokensLeft;
    history.record(nowMillis, -1, -promptTokensLeft);
  }

  /** Returns this router's own load. */
  synchronized LoadEstimate own() {
    return new LoadEstimate(outstandingRequests, queuedTokens, false);
  }

  /** Returns the estimate from what the other routers have outstanding. */
  synchronized LoadEstimate estimate(DispatchCounts.Count peers) {
    return new LoadEstimate(
        outstandingRequests + peers.outstandingRequests(),
        queuedTokens + peers.queuedTokens(),
        true);
  }

  /** Returns the estimate from a report, which is null while none is known. */
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
