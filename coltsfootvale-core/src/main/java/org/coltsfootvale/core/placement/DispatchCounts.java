package org.coltsfootvale.core.placement;

import java.util.List;
import org.coltsfootvale.core.model.EngineId;

/**
 * The requests that a router has dispatched and not finished, by engine. Counts are absolute, so
 * that a duplicate message has no effect.
 *
 * @param complete whether unlisted engines have nothing outstanding; if false, their counts are
 *     unchanged since the previous message
 * @param counts the counts
 */
public record DispatchCounts(boolean complete, List<Count> counts) {

  /** Copies the list. */
  public DispatchCounts {
    counts = List.copyOf(counts);
  }

  /**
   * The load that one router has put on one engine.
   *
   * @param engine the engine
   * @param outstandingRequests requests dispatched and not finished
   * @param queuedTokens their prompt tokens not yet prefilled
   */
  public record Count(EngineId engine, int outstandingRequests, long queuedTokens) {}
}
