package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Selects the replica for a request. */
@FunctionalInterface
public interface ReplicaChoice {

  /** Returns the replica for a request, or null if none can take it now. */
  @Nullable Placement choose(Work work, Collection<ReplicaState> replicas);
}
