package org.coltsfootvale.core.placement;

/** Chooses the engine for each request and keeps the account of this router's own dispatches. */
public interface EngineSelector {

  /**
   * Chooses an engine and counts the request against it until the reservation is released.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NO_BACKEND if no live engine serves
   *     the model, OVERLOADED with a time to retry if all of them are at their bound; both not run
   */
  Reservation select(PlacementRequest request);
}
