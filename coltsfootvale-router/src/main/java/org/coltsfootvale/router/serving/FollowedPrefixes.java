package org.coltsfootvale.router.serving;

import java.util.List;
import org.coltsfootvale.core.store.PrefixFollower;

/**
 * The prefixes of the store that this router follows. Confined to the serving loop.
 *
 * @param desiredState the key of the desired state, or all keys of the operator
 * @param desiredStateFeed applies the desired state and holds the entry applied last
 * @param replicas the entries of replicas
 * @param routers the advertisements of routers
 */
record FollowedPrefixes(
    PrefixFollower desiredState,
    DesiredStateFeed desiredStateFeed,
    PrefixFollower replicas,
    PrefixFollower routers) {

  /** Returns all followers, in the order of their positions in updates between routers. */
  List<PrefixFollower> all() {
    return List.of(desiredState, replicas, routers);
  }

  void start() {
    all().forEach(PrefixFollower::start);
  }

  /** Starts a full read of each prefix, for example after a pause of the process. */
  void rereadAll() {
    all().forEach(PrefixFollower::restart);
  }

  /** Returns whether this router reads all changes from the store itself, and is up to date. */
  boolean readCurrent() {
    return all().stream().allMatch(follower -> follower.readsStore() && follower.current());
  }
}
