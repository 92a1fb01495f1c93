package org.coltsfootvale.core.once;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Detects that this process was paused. Requests waiting after a pause may be older than the claims
 * that other routers held for them. Reports no pause before the first tick.
 */
final class PauseDetector {

  private final Duration pauseMax;
  private final LongSupplier monotonicNanos;
  private boolean ticked;
  private long lastTickNanos;
  private long recentPauseUntilNanos;

  PauseDetector(Duration pauseMax, LongSupplier monotonicNanos) {
    this.pauseMax = pauseMax;
    this.monotonicNanos = monotonicNanos;
    this.recentPauseUntilNanos = monotonicNanos.getAsLong();
  }

  /** Records that the process is running. */
  synchronized void tick() {
    long now = monotonicNanos.getAsLong();
    if (tickOverdue(now)) {
      recentPauseUntilNanos = now + pauseMax.toNanos();
    }
    ticked = true;
    lastTickNanos = now;
  }

  /** Returns whether a request that is accepted now may have waited during a pause. */
  synchronized boolean recentlyPaused() {
    long now = monotonicNanos.getAsLong();
    return tickOverdue(now) || now < recentPauseUntilNanos;
  }

  private boolean tickOverdue(long now) {
    return ticked && now - lastTickNanos > pauseMax.toNanos();
  }
}
