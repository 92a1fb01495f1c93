package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Judges whether this router is late with its work, by how late a periodic task of its loop runs: a
 * slowed host, a start on a small one, or more callers than it can serve look alike. Such a router
 * gives its callers away until it has caught up. Confined to one thread.
 */
public final class LoopLagDetector {

  /** The mean delay from which on a router is late; a first event has some hundred ms. */
  private static final double LATE_MILLIS = 60;

  /** The mean delay below which it has caught up. */
  private static final double CAUGHT_UP_MILLIS = 15;

  /** The time over which delays are averaged. */
  private static final double MEMORY_MILLIS = 400;

  /** The time without a run after which the loop is taken to be stuck at present. */
  private static final double STUCK_MILLIS = 200;

  private static final double NANOS_PER_MILLI = 1e6;

  private final double periodMillis;
  private final LongSupplier nanoTime;
  private long lastNanos;
  private double meanDelayMillis;
  private boolean lagging;

  /**
   * Creates a judge that has seen no delay.
   *
   * @param period the pause after which the task runs again
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public LoopLagDetector(Duration period, LongSupplier nanoTime) {
    this.periodMillis = period.toMillis();
    this.nanoTime = nanoTime;
    this.lastNanos = nanoTime.getAsLong();
  }

  /** Takes note that the task runs. */
  public void onTick() {
    long now = nanoTime.getAsLong();
    double sinceMillis = (now - lastNanos) / NANOS_PER_MILLI;
    lastNanos = now;
    double weight = Math.min(1, sinceMillis / MEMORY_MILLIS);
    double delayMillis = Math.max(0, sinceMillis - periodMillis);
    meanDelayMillis += weight * (delayMillis - meanDelayMillis);
    if (meanDelayMillis > LATE_MILLIS) {
      lagging = true;
    } else if (meanDelayMillis < CAUGHT_UP_MILLIS) {
      lagging = false;
    }
  }

  /** Returns whether the router is late with its work. */
  public boolean lagging() {
    return lagging;
  }

  /** Returns whether the router is late, or has just been stuck, so that requests wait unread. */
  public boolean laggingOrBlocked() {
    return lagging || (nanoTime.getAsLong() - lastNanos) / NANOS_PER_MILLI > STUCK_MILLIS;
  }
}
