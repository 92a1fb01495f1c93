package org.coltsfootvale.core.orders;

import java.util.List;
import org.coltsfootvale.core.release.PoolSpec;

/**
 * The newest orders of a pool, which a sender stores before it sends them.
 *
 * @param fencing the sender's fencing number
 * @param releaseRevision the release revision of the target
 * @param modelVersion the target's model version
 * @param adapters the target's adapters
 * @param role the target's role
 */
record OrderIntent(
    long fencing, long releaseRevision, String modelVersion, List<String> adapters, String role) {

  static OrderIntent of(long fencing, long releaseRevision, PoolSpec target) {
    return new OrderIntent(
        fencing, releaseRevision, target.modelVersion(), target.adapters(), target.role());
  }

  /** Returns whether this intent has a different target. */
  boolean differsFrom(PoolSpec target) {
    return !modelVersion.equals(target.modelVersion())
        || !adapters.equals(target.adapters())
        || !role.equals(target.role());
  }
}
