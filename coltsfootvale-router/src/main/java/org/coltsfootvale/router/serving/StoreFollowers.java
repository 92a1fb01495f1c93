package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.router.http.ServingLoop;

/** Creates the followers of what an entry router reads from the store. */
final class StoreFollowers {

  /**
   * The longest wait of one call for changes; calls are priced, and the store allows 30 s. A call
   * that is lost without an error is noticed by the news of other routers, see {@link
   * org.coltsfootvale.core.store.RevisionLag}.
   */
  private static final Duration CHANGES_WAIT = Duration.ofSeconds(15);

  /** Routers come and go in groups, so that one call for changes brings several of them. */
  private static final Duration ADVERTISEMENT_SETTLE = Duration.ofMillis(250);

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

  /** Creates a follower whose changes are taken at once. */
  PrefixFollower follow(String prefix, PrefixFollower.Listener listener) {
    return follow(prefix, listener, CHANGES_WAIT, Duration.ZERO);
  }

  /** Creates the follower of the routers' advertisements. */
  PrefixFollower advertisements(RouterRegistry registry) {
    return follow(RouterRegistry.PREFIX, registry, CHANGES_WAIT, ADVERTISEMENT_SETTLE);
  }

  private PrefixFollower follow(
      String prefix, PrefixFollower.Listener listener, Duration wait, Duration settle) {
    return new PrefixFollower(store, prefix, listener, wait, settle, loop, random, log);
  }
}
