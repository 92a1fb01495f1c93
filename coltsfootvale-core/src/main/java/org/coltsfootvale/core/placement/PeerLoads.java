package org.coltsfootvale.core.placement;

import java.util.Optional;
import org.coltsfootvale.core.model.EngineId;

/** Provides the load that the peers of this router have put on an engine. */
@FunctionalInterface
public interface PeerLoads {

  /** Provides no counts. */
  PeerLoads UNKNOWN = engine -> Optional.empty();

  /** Returns the sum over all peers, or empty while valid counts of any peer are missing. */
  Optional<DispatchCounts.Count> countAt(EngineId engine);
}
