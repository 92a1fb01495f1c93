package org.coltsfootvale.router.serving;

import java.util.function.LongSupplier;

/**
 * Detects that the process has not run for a while, by comparing a clock that stops while its host
 * is suspended with one that continues. A step of the wall clock looks the same and is reported
 * too.
 */
final class SuspensionDetector {

  /**
   * Longer than any turn of the serving loop, shorter than the time after which the view is stale.
   */
  private static final long PAUSE_MILLIS = 700;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LongSupplier nanoTime;
  private final LongSupplier wallMillis;
  private long lastNanos;
  private long lastWallMillis;

  SuspensionDetector(LongSupplier nanoTime, LongSupplier wallMillis) {
    this.nanoTime = nanoTime;
    this.wallMillis = wallMillis;
    this.lastNanos = nanoTime.getAsLong();
    this.lastWallMillis = wallMillis.getAsLong();
  }

  /** Returns whether the process was paused or the wall clock stepped since the last call. */
  boolean pausedSinceLastCall() {
    long nowNanos = nanoTime.getAsLong();
    long nowWallMillis = wallMillis.getAsLong();
    long ranMillis = (nowNanos - lastNanos) / NANOS_PER_MILLI;
    long passedMillis = nowWallMillis - lastWallMillis;
    lastNanos = nowNanos;
    lastWallMillis = nowWallMillis;
    return ranMillis > PAUSE_MILLIS || Math.abs(passedMillis - ranMillis) > PAUSE_MILLIS;
  }
}
