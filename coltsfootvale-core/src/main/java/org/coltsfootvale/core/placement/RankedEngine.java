package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineView;

/**
 * An engine that may take a request, with what the choice needs to know of it.
 *
 * @param view the engine in the membership view
 * @param score its rendezvous score for the chat; the highest is first
 * @param prefillTokensPerSecond its prefill rate
 * @param account this router's account of it
 * @param load its estimated load
 */
record RankedEngine(
    EngineView view,
    double score,
    double prefillTokensPerSecond,
    EngineAccount account,
    LoadEstimate load) {

  /** Returns the estimated wait of a prompt of so many uncached tokens, in seconds. */
  double prefillSeconds(long uncachedTokens) {
    return (load.queuedTokens() + uncachedTokens) / prefillTokensPerSecond;
  }
}
