package org.coltsfootvale.testkit.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A token bucket that holds the calls of one second, at least one. Thread-safe. */
public final class RateLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final double callsPerSecond;
  private final double burstCalls;
  private final Object lock = new Object();
  private double availableCalls;
  private Instant updatedAt;

  /**
   * Creates a full bucket.
   *
   * @param clock the time source
   * @param callsPerSecond the refill rate, greater than 0
   */
  public RateLimit(InstantSource clock, double callsPerSecond) {
    this.clock = clock;
    this.callsPerSecond = callsPerSecond;
    this.burstCalls = Math.max(1, callsPerSecond);
    this.availableCalls = burstCalls;
    this.updatedAt = clock.instant();
  }

  /** Acquires a permit for one call if one is available and returns whether it did. */
  public boolean tryAcquire() {
    synchronized (lock) {
      Instant now = clock.instant();
      double seconds = Duration.between(updatedAt, now).toNanos() / NANOS_PER_SECOND;
      availableCalls = Math.min(burstCalls, availableCalls + seconds * callsPerSecond);
      updatedAt = now;
      if (availableCalls < 1) {
        return false;
      }
      availableCalls -= 1;
      return true;
    }
  }

  /** Returns the delay in whole seconds after which a refused call can succeed, at least 1. */
  public long retryAfterSeconds() {
    return Math.max(1, (long) Math.ceil(1 / callsPerSecond));
  }
}
