package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Decides whether this router reads changes from the platform's store itself or relies on a relay
 * that forwards them. Calls to the store are priced, and its rate limits grow more slowly than the
 * fleet. In any fleet a few routers read, because one may be cut off without noticing. When no
 * relay is up to date, further routers start to read one after the other by rank; a router that
 * receives no updates from peers starts without the delay by rank. Confined to one thread.
 */
public final class StoreReaderRole {

  /** How long a router relies on a relay after its last up-to-date update. */
  static final Duration RELAY_TIMEOUT = Duration.ofMillis(1_000);

  /** The additional delay per rank within a data centre. */
  static final Duration RANK_DELAY = Duration.ofMillis(700);

  /** The smallest number of routers that read in a fleet. */
  static final int READERS_MIN = 3;

  private final RelayTopology topology;
  private final LongSupplier nanoTime;
  private long relayCurrentNanos;
  private boolean relayEverCurrent;

  /**
   * Creates a role without a known relay.
   *
   * @param topology selects the relays
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public StoreReaderRole(RelayTopology topology, LongSupplier nanoTime) {
    this.topology = topology;
    this.nanoTime = nanoTime;
  }

  /** Records an update from a relay that is up to date with the store. */
  public void onCurrentRelay() {
    relayCurrentNanos = nanoTime.getAsLong();
    relayEverCurrent = true;
  }

  /**
   * Returns whether this router reads changes from the store.
   *
   * @param receivesUpdates whether updates from any peer arrive
   */
  public boolean readsStore(boolean receivesUpdates) {
    if (topology.fullMesh()
        || !relayEverCurrent
        || topology.relay().isEmpty()
        || permanentReader()) {
      return true;
    }
    long overdueNanos = nanoTime.getAsLong() - relayCurrentNanos - RELAY_TIMEOUT.toNanos();
    return overdueNanos > (receivesUpdates ? topology.rank() * RANK_DELAY.toNanos() : 0);
  }

  /**
   * Returns whether this router, if it is not a relay, forwards what it reads to its relay. It does
   * not during a start, when all routers read.
   */
  public boolean forwardsToRelay() {
    return relayEverCurrent;
  }

  private boolean permanentReader() {
    return topology.rank() * topology.dataCentres() < READERS_MIN;
  }
}
