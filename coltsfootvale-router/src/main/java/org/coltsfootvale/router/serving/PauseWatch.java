package org.coltsfootvale.router.serving;

import java.util.function.LongSupplier;

/**
 * Notices that the process has not run for a while, by a clock that stands still while its host is
 * suspended and one that goes on. A step of the time of day looks the same and is reported too.
 */
final class PauseWatch {

  /** Longer than any turn of the serving loop, shorter than what makes beliefs stale. */
  private static final long PAUSE_MILLIS = 700;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LongSupplier nanoTime;
  private final LongSupplier wallMillis;
  private long lastNanos;
  private long lastWallMillis;

  PauseWatch(LongSupplier nanoTime, LongSupplier wallMillis) {
    this.nanoTime = nanoTime;
    this.wallMillis = wallMillis;
    this.lastNanos = nanoTime.getAsLong();
    this.lastWallMillis = wallMillis.getAsLong();
  }

  /** Returns whether the process was paused, or the time of day was set, since the last call. */
  boolean pausedSinceLastCall() {
    long now = nanoTime.getAsLong();
    long wall = wallMillis.getAsLong();
    long ranMillis = (now - lastNanos) / NANOS_PER_MILLI;
    long passedMillis = wall - lastWallMillis;
    lastNanos = now;
    lastWallMillis = wall;
    return ranMillis > PAUSE_MILLIS || Math.abs(passedMillis - ranMillis) > PAUSE_MILLIS;
  }
}
