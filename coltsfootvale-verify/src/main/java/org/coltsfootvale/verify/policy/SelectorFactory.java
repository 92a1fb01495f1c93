package org.coltsfootvale.verify.policy;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PeerLoads;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.retry.CircuitBreakers;

/** Creates the engine selectors of routers. */
@FunctionalInterface
interface SelectorFactory {

  /** Creates the selector of one router. */
  EngineSelector create(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      PeerLoads peers,
      CircuitBreakers circuits,
      InstantSource clock,
      long seed);
}
