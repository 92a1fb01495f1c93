package org.coltsfootvale.router.serving;

import java.util.List;
import org.coltsfootvale.core.store.PrefixFollower;

/**
 * What this router follows in the store. Confined to the serving loop.
 *
 * @param desiredState the key of the desired state
 * @param inForce takes the desired state, and knows which one is in force
 * @param replicas the entries of replicas
 * @param routers the advertisements of routers
 */
record FollowedPrefixes(
    PrefixFollower desiredState,
    DesiredStateFeed inForce,
    PrefixFollower replicas,
    PrefixFollower routers) {

  /** Returns all followers, in the order in which routers tell each other of them. */
  List<PrefixFollower> all() {
    return List.of(desiredState, replicas, routers);
  }

  void start() {
    all().forEach(PrefixFollower::start);
  }

  /** Reads everything anew, for example after a pause of the process. */
  void restart() {
    all().forEach(PrefixFollower::restart);
  }

  /** Returns whether this router calls the store for all changes, and is up to date. */
  boolean readCurrent() {
    return all().stream().allMatch(follower -> follower.readsStore() && follower.current());
  }
}
