package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.store.FollowTimings;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.RecoveryReports;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.coltsfootvale.router.http.ServingLoop;

/** Creates the followers of the prefixes that an entry router reads from the store. */
final class PrefixFollowerFactory {

  /**
   * Maximum wait of a call for changes of the desired state. It is short, as the call also probes
   * the store: the loss of a call without an error is detected at its end.
   */
  private static final Duration PROBE_WAIT = Duration.ofSeconds(5);

  /** Maximum wait of the other calls: calls are billed, and the store allows 30 s. */
  private static final Duration CHANGES_WAIT = Duration.ofSeconds(15);

  /**
   * Replicas register and depart in groups, so that one call returns several changes; short
   * relative to the 2 s within which a departure has to take effect.
   */
  private static final Duration REPLICAS_BATCH_DELAY = Duration.ofMillis(250);

  /**
   * Routers advertise themselves in groups, above all when a fleet starts; their updates, not their
   * entries, show whether they are alive.
   */
  private static final Duration ROUTERS_BATCH_DELAY = Duration.ofSeconds(1);

  /** How long a router waits after a full read for another router that reads the changes for it. */
  private static final Duration READER_WAIT = Duration.ofMillis(400);

  private final RevisionedStore store;
  private final ServingLoop loop;
  private final DoubleSupplier random;
  private final LongSupplier nanoTime;
  private final long incarnation;
  private final DecisionLog log;

  /**
   * Creates a factory.
   *
   * @param routerId the id of this router
   */
  PrefixFollowerFactory(
      RevisionedStore store,
      ServingLoop loop,
      DoubleSupplier random,
      LongSupplier nanoTime,
      String routerId,
      DecisionLog log) {
    this.store = store;
    this.loop = loop;
    this.random = random;
    this.nanoTime = nanoTime;
    this.incarnation =
        RendezvousHashing.combine(
            RendezvousHashing.hash(routerId), Double.doubleToLongBits(random.getAsDouble()));
    this.log = log;
  }

  /**
   * Creates the followers. Changes of the desired state are read at once, others are batched.
   *
   * @param desiredStatePrefix the prefix of the keys that are followed for the desired state
   */
  FollowedPrefixes create(
      EntryFormats formats,
      String desiredStatePrefix,
      DesiredStateFeed desiredState,
      PrefixListener replicas,
      PrefixListener routers) {
    return new FollowedPrefixes(
        follow(desiredStatePrefix, desiredState, PROBE_WAIT, Duration.ZERO),
        desiredState,
        follow(formats.replicaPrefix(), replicas, CHANGES_WAIT, REPLICAS_BATCH_DELAY),
        follow(RouterRegistry.PREFIX, routers, CHANGES_WAIT, ROUTERS_BATCH_DELAY));
  }

  private PrefixFollower follow(
      String prefix, PrefixListener listener, Duration wait, Duration settle) {
    return new PrefixFollower(
        store,
        prefix,
        listener,
        new FollowTimings(wait, settle, READER_WAIT),
        loop,
        random,
        new RecoveryReports(incarnation, nanoTime),
        log);
  }
}
