package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Detects that this router's event loop is lagging, from the delay of a periodic task. The causes
 * look alike: a slowed host, a start on a small host, or more callers than the router can serve. A
 * lagging router hands its callers to others until it has caught up. Confined to one thread.
 */
public final class LoopLagDetector {

  /**
   * The mean delay above which a router is lagging; a first event has a latency goal of some
   * hundred milliseconds.
   */
  private static final double LAGGING_MILLIS = 60;

  /** The mean delay below which it has caught up. */
  private static final double CAUGHT_UP_MILLIS = 15;

  /** The time constant of the moving average of delays. */
  private static final double AVERAGING_MILLIS = 400;

  /** The time without a run after which the loop counts as blocked. */
  private static final double BLOCKED_MILLIS = 200;

  private static final double NANOS_PER_MILLI = 1e6;

  private final double periodMillis;
  private final LongSupplier nanoTime;
  private long lastNanos;
  private double meanDelayMillis;
  private boolean lagging;

  /**
   * Creates a detector without recorded delays.
   *
   * @param period the period of the task
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public LoopLagDetector(Duration period, LongSupplier nanoTime) {
    this.periodMillis = period.toMillis();
    this.nanoTime = nanoTime;
    this.lastNanos = nanoTime.getAsLong();
  }

  /** Records a run of the task. */
  public void onTick() {
    long now = nanoTime.getAsLong();
    double sinceMillis = (now - lastNanos) / NANOS_PER_MILLI;
    lastNanos = now;
    double weight = Math.min(1, sinceMillis / AVERAGING_MILLIS);
    double delayMillis = Math.max(0, sinceMillis - periodMillis);
    meanDelayMillis += weight * (delayMillis - meanDelayMillis);
    if (meanDelayMillis > LAGGING_MILLIS) {
      lagging = true;
    } else if (meanDelayMillis < CAUGHT_UP_MILLIS) {
      lagging = false;
    }
  }

  /** Returns whether the router is lagging. */
  public boolean lagging() {
    return lagging;
  }

  /**
   * Returns whether the router is lagging, or its loop is blocked so that requests are not read.
   */
  public boolean laggingOrBlocked() {
    return lagging || (nanoTime.getAsLong() - lastNanos) / NANOS_PER_MILLI > BLOCKED_MILLIS;
  }
}
