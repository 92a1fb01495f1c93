package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Picks the replica that a request goes to. */
@FunctionalInterface
public interface ReplicaSelectionStrategy {

  /** Returns the replica for a request, or null if none takes it now. */
  @Nullable Placement select(DispatchRequest work, Collection<ReplicaState> replicas);
}
