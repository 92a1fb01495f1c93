package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Decides whether this router follows the platform's store itself or leaves that to a relay, which
 * passes on what it reads. Calls to the store are priced, and its rates grow more slowly than the
 * fleet. A few routers read in any fleet, as one may be cut off without noticing. When no relay is
 * up to date, further routers step in one after the other by their rank; one that hears nobody
 * reads at once. Confined to one thread.
 */
public final class StoreReaderRole {

  /** How long a router that hears others may go without one that is up to date. */
  static final Duration PATIENCE = Duration.ofMillis(1_000);

  /** How much longer each further router of a data centre waits. */
  static final Duration STEP = Duration.ofMillis(700);

  /** The routers that read in a fleet at least. */
  static final int READERS_MIN = 3;

  private final RelayTopology topology;
  private final LongSupplier nanoTime;
  private long currentNanos;
  private boolean everCurrent;

  /**
   * Creates a role.
   *
   * @param topology who relays
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public StoreReaderRole(RelayTopology topology, LongSupplier nanoTime) {
    this.topology = topology;
    this.nanoTime = nanoTime;
  }

  /** Takes note that a relay is heard which is up to date with the store. */
  public void onCurrentRelay() {
    currentNanos = nanoTime.getAsLong();
    everCurrent = true;
  }

  /**
   * Returns whether this router calls the store for changes.
   *
   * @param hearsAnybody whether any other router is heard
   */
  public boolean readsStore(boolean hearsAnybody) {
    if (topology.fullMesh() || !everCurrent || topology.relay().isEmpty() || standsBy()) {
      return true;
    }
    long waitedNanos = nanoTime.getAsLong() - currentNanos - PATIENCE.toNanos();
    return waitedNanos > (hearsAnybody ? topology.rank() * STEP.toNanos() : 0);
  }

  /**
   * Returns whether this router, which is no relay, passes on to its relay what it reads: not while
   * it starts, when all read.
   */
  public boolean forwardsToRelay() {
    return everCurrent;
  }

  private boolean standsBy() {
    return topology.rank() * topology.dataCentres() < READERS_MIN;
  }
}
