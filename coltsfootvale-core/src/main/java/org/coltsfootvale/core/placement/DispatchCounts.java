package org.coltsfootvale.core.placement;

import java.util.List;
import org.coltsfootvale.core.model.EngineId;

/**
 * What a router has dispatched and not finished, by engine. Counts are absolute, so that a repeated
 * message does no harm.
 *
 * @param complete whether engines that are not named have nothing outstanding; if not, they are
 *     unchanged since the message before
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
