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
 * Polls the platform's host list. Platform readers poll at a fixed interval; the interval of other
 * routers grows with their number, so that the read rate of the fleet does not. Gossip also carries
 * the departures of engines and routers, but not those of plain service replicas.
 */
public final class HostListPoller {

  /** Up to this number of routers, non-readers poll at the interval of a reader. */
  private static final int ROUTERS_AT_FULL_RATE = 12;

  private final HostListClient client;
  private final Membership membership;
  private final BiConsumer<String, Boolean> replicaListener;
  private final PlatformReaderRole role;
  private final InstantSource clock;
  private final Duration interval;
  private final LongSupplier jitterMillis;
  private volatile Instant dueAt = Instant.EPOCH;

  /**
   * Creates a poller that is driven by {@link #tick}.
   *
   * @param replicaListener receives each listed plain service replica and whether it leaves
   * @param interval the polling interval of a platform reader
   */
  public HostListPoller(
      HostListClient client,
      Membership membership,
      BiConsumer<String, Boolean> replicaListener,
      PlatformReaderRole role,
      InstantSource clock,
      Duration interval,
      LongSupplier jitterMillis) {
    this.client = client;
    this.membership = membership;
    this.replicaListener = replicaListener;
    this.role = role;
    this.clock = clock;
    this.interval = interval;
    this.jitterMillis = jitterMillis;
  }

  /** Reads the list if a read is due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(dueAt)) {
      return;
    }
    dueAt = now.plus(currentInterval()).plusMillis(jitterMillis.getAsLong());
    var unused = client.read().thenAccept(this::apply);
  }

  private Duration currentInterval() {
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
        replicaListener.accept(host.id(), host.leaving());
      }
    }
  }
}
