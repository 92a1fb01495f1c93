package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.router.http.ServingLoop;

/** Creates the followers of what an entry router reads from the store. */
final class StoreFollowers {

  /**
   * The longest wait of a call for changes of the desired state. It is short, as this call also
   * tells whether the store still answers: one that is lost without an error is noticed by its end.
   */
  private static final Duration PROBING_WAIT = Duration.ofSeconds(5);

  /** The longest wait of the other calls: calls are priced, and the store allows 30 s. */
  private static final Duration CHANGES_WAIT = Duration.ofSeconds(15);

  /**
   * Replicas come and go in groups, so that one call brings several changes; short beside the two
   * seconds within which a departure has to take effect.
   */
  private static final Duration SETTLE = Duration.ofMillis(250);

  /**
   * Routers advertise themselves in groups, above all when a fleet starts; whether one is alive is
   * told by its news and not by its entry.
   */
  private static final Duration ROUTERS_SETTLE = Duration.ofSeconds(1);

  /** How long a router that has read everything listens for one that reads the changes for it. */
  private static final Duration FIRST_WAIT = Duration.ofMillis(400);

  private final RevisionedStore store;
  private final ServingLoop loop;
  private final DoubleSupplier random;
  private final DecisionLog log;

  StoreFollowers(RevisionedStore store, ServingLoop loop, DoubleSupplier random, DecisionLog log) {
    this.store = store;
    this.loop = loop;
    this.random = random;
    this.log = log;
  }

  /** Creates the followers. Changes of the desired state are taken at once, others gather. */
  FollowedPrefixes create(
      EntryFormats formats,
      DesiredStateFeed desiredState,
      PrefixListener replicas,
      PrefixListener routers) {
    return new FollowedPrefixes(
        follow(formats.desiredStateKey(), desiredState, PROBING_WAIT, Duration.ZERO),
        desiredState,
        follow(formats.replicaPrefix(), replicas, CHANGES_WAIT, SETTLE),
        follow(RouterRegistry.PREFIX, routers, CHANGES_WAIT, ROUTERS_SETTLE));
  }

  private PrefixFollower follow(
      String prefix, PrefixListener listener, Duration wait, Duration settle) {
    return new PrefixFollower(store, prefix, listener, wait, settle, FIRST_WAIT, loop, random, log);
  }
}
