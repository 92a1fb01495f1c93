package org.coltsfootvale.core.placement;

import org.coltsfootvale.core.model.EngineId;
import org.jspecify.annotations.Nullable;

/** A chosen engine whose load includes the request until the release. Thread-safe. */
public interface Reservation {

  /** Returns the chosen engine. */
  EngineId engine();

  /** Returns the engine's incarnation number in the view used for the choice, 0 if unknown. */
  long engineIncarnation();

  /** Returns the number of prompt tokens that are expected to need no prefill. */
  int cachedTokensExpected();

  /** Returns the engine to import the chat's cache from, or null if prefill is cheaper. */
  @Nullable EngineId importFrom();

  /**
   * Returns the maximum number of outstanding requests, including this one, at which the engine may
   * accept it. An engine that receives this limit refuses the request above it as not run.
   */
  default int outstandingRequestsMax() {
    return Integer.MAX_VALUE;
  }

  /** Records the arrival of the first token: the prompt is no longer queued. */
  void onPrefilled();

  /** Records the arrival of answer tokens. */
  void onGenerated(int tokens);

  /** Stops counting the request; later calls have no effect. */
  void release();
}
