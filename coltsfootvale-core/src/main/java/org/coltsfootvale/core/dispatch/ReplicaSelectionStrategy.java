package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Selects the replica for a request. */
@FunctionalInterface
public interface ReplicaSelectionStrategy {

  /** Returns the replica for a request, or null if none can take it now. */
  @Nullable Placement select(DispatchRequest request, Collection<ReplicaState> replicas);
}
