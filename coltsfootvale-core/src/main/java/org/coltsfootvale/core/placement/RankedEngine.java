package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineView;

/**
 * A candidate engine for a request.
 *
 * @param view the engine in the membership view
 * @param score its rendezvous score for the chat; the highest ranks first
 * @param prefillTokensPerSecond its prefill rate
 * @param tracker the tracker of this router's load on it
 * @param load its estimated load
 */
record RankedEngine(
    EngineView view,
    double score,
    double prefillTokensPerSecond,
    EngineLoadTracker tracker,
    LoadEstimate load) {

  /**
   * Returns the estimated time until a prompt with the given number of uncached tokens is
   * prefilled, in seconds.
   */
  double prefillSeconds(long uncachedTokens) {
    return (load.queuedTokens() + uncachedTokens) / prefillTokensPerSecond;
  }
}
