package org.coltsfootvale.core.orders;

import java.util.List;
import org.coltsfootvale.core.release.PoolSpec;

/**
 * What a sender has written down before it sends: the newest orders of a pool.
 *
 * @param fencing the sender's fencing number
 * @param releaseRevision the release revision that the target comes from
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

  /** Returns whether this intent states another target. */
  boolean differsFrom(PoolSpec target) {
    return !modelVersion.equals(target.modelVersion())
        || !adapters.equals(target.adapters())
        || !role.equals(target.role());
  }
}
