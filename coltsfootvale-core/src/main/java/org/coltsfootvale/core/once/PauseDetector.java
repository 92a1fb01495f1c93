package org.coltsfootvale.core.once;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Notices that this process was stopped for a while. Requests that it finds waiting afterwards may
 * be older than the claims that other routers held for them. Judges nothing before the first tick.
 */
final class PauseDetector {

  private final Duration pauseMax;
  private final LongSupplier monotonicNanos;
  private boolean ticked;
  private long lastTickNanos;
  private long suspiciousUntilNanos;

  PauseDetector(Duration pauseMax, LongSupplier monotonicNanos) {
    this.pauseMax = pauseMax;
    this.monotonicNanos = monotonicNanos;
    this.suspiciousUntilNanos = monotonicNanos.getAsLong();
  }

  /** Records that the process is running. */
  synchronized void tick() {
    long now = monotonicNanos.getAsLong();
    if (pausedAt(now)) {
      suspiciousUntilNanos = now + pauseMax.toNanos();
    }
    ticked = true;
    lastTickNanos = now;
  }

  /** Returns whether a request that is taken up now may have waited during a pause. */
  synchronized boolean suspicious() {
    long now = monotonicNanos.getAsLong();
    return pausedAt(now) || now < suspiciousUntilNanos;
  }

  private boolean pausedAt(long now) {
    return ticked && now - lastTickNanos > pauseMax.toNanos();
  }
}
