package org.coltsfootvale.core.placement;

/** Chooses the engine for each request and tracks this router's own dispatches. */
public interface EngineSelector {

  /**
   * Chooses an engine and counts the request against it until the reservation is released.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NO_BACKEND if no live engine serves
   *     the model, OVERLOADED with a retry delay if all of them are at their limit; both with
   *     outcome NOT_RUN
   */
  Reservation select(PlacementRequest request);
}
