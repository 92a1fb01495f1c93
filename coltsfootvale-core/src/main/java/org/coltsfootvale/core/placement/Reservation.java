package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineId;
import org.jspecify.annotations.Nullable;

/** A chosen engine with the load that the request puts on it. Thread-safe. */
public interface Reservation {

  /** Returns the chosen engine. */
  EngineId engine();

  /** Returns the engine's start number in the view the choice was made from, 0 if unknown. */
  long engineIncarnation();

  /** Returns how many prompt tokens the engine is expected to hold already. */
  int cachedTokensExpected();

  /** Returns an engine from which importing the chat's cache is cheaper than prefill, or null. */
  @Nullable EngineId importFrom();

  /**
   * Returns how many outstanding requests, this one included, the engine may have when it accepts
   * this one. An engine that is told refuses what exceeds it as not run.
   */
  default int outstandingRequestsMax() {
    return Integer.MAX_VALUE;
  }

  /** Tells that the first token has arrived: the prompt is no longer queued. */
  void onPrefilled();

  /** Tells that tokens of the answer have arrived. */
  void onGenerated(int tokens);

  /** Ends the account of this request; later calls do nothing. */
  void release();
}
