package org.coltsfootvale.router.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.router.platform.HostListClient;
import org.coltsfootvale.router.platform.HostListClient.HostList;

/**
 * Reads the platform's host list: a platform reader at its interval; other routers the more seldom
 * the more of them there are, so that the reads of the whole fleet do not grow with it. Engines and
 * routers that leave are also told in gossip, replicas of plain services are not.
 */
public final class HostListPoller {

  /** Up to this number of routers all of them read at the interval of a reader. */
  private static final int ROUTERS_AT_FULL_RATE = 12;

  private final HostListClient client;
  private final Membership membership;
  private final BiConsumer<String, Boolean> replicaLeaving;
  private final PlatformReaderRole role;
  private final InstantSource clock;
  private final Duration interval;
  private final LongSupplier jitterMillis;
  private volatile Instant dueAt = Instant.EPOCH;

  /**
   * Creates a poller that is driven by {@link #tick}.
   *
   * @param replicaLeaving told for each listed replica of a plain service whether it is leaving
   * @param interval how often a platform reader reads
   */
  public HostListPoller(
      HostListClient client,
      Membership membership,
      BiConsumer<String, Boolean> replicaLeaving,
      PlatformReaderRole role,
      InstantSource clock,
      Duration interval,
      LongSupplier jitterMillis) {
    this.client = client;
    this.membership = membership;
    this.replicaLeaving = replicaLeaving;
    this.role = role;
    this.clock = clock;
    this.interval = interval;
    this.jitterMillis = jitterMillis;
  }

  /** Reads the list if that is due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(dueAt)) {
      return;
    }
    dueAt = now.plus(period()).plusMillis(jitterMillis.getAsLong());
    var unused = client.read().thenAccept(this::apply);
  }

  private Duration period() {
    if (role.isReader()) {
      return interval;
    }
    int routers = membership.view().routers().size();
    return interval.multipliedBy(Math.max(1, routers / ROUTERS_AT_FULL_RATE));
  }

  private void apply(HostList list) {
    membership.onHostList(list.hosts(), list.asOf());
    for (ListedHost host : list.hosts()) {
      if (host.kind() == ListedHost.Kind.SERVICE) {
        replicaLeaving.accept(host.id(), host.leaving());
      }
    }
  }
}
