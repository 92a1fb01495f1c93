package org.coltsfootvale.router.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.router.platform.HostListClient;

/**
 * Reads the platform's host list: a platform reader at its interval, every router once at its start
 * and then seldom.
 */
public final class HostListPoller {

  private static final int NON_READER_FACTOR = 30;

  private final HostListClient client;
  private final Membership membership;
  private final PlatformReaderRole role;
  private final InstantSource clock;
  private final Duration interval;
  private final LongSupplier jitterMillis;
  private volatile Instant dueAt = Instant.EPOCH;

  /**
   * Creates a poller that is driven by {@link #tick}.
   *
   * @param interval how often a platform reader reads
   */
  public HostListPoller(
      HostListClient client,
      Membership membership,
      PlatformReaderRole role,
      InstantSource clock,
      Duration interval,
      LongSupplier jitterMillis) {
    this.client = client;
    this.membership = membership;
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
    Duration wait = role.isReader() ? interval : interval.multipliedBy(NON_READER_FACTOR);
    dueAt = now.plus(wait).plusMillis(jitterMillis.getAsLong());
    client.read().thenAccept(list -> membership.onHostList(list.hosts(), list.asOf()));
  }
}
