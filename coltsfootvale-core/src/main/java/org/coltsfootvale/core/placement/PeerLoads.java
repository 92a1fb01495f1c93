package org.coltsfootvale.core.placement;

import java.util.Optional;
import org.coltsfootvale.core.model.EngineId;

/** Tells what the other routers have outstanding at an engine. */
@FunctionalInterface
public interface PeerLoads {

  /** Knows nothing of other routers. */
  PeerLoads UNKNOWN = engine -> Optional.empty();

  /** Returns the sum over the other routers, or empty while some of them have not been heard. */
  Optional<DispatchCounts.Count> countAt(EngineId engine);
}
