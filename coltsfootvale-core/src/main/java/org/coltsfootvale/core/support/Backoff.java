package org.coltsfootvale.core.support;

import java.time.Duration;

/**
 * Delays that double with each consecutive failure.
 *
 * @param min the delay after the first failure
 * @param max the maximum delay
 */
public record Backoff(Duration min, Duration max) {

  /** Limits the shift against overflow; so many doublings exceed any practical maximum delay. */
  private static final int DOUBLINGS_MAX = 20;

  /**
   * Returns the delay after a failure.
   *
   * @param failuresBefore the number of consecutive failures before it, 0 or more
   */
  public Duration after(int failuresBefore) {
    Duration doubled = min.multipliedBy(1L << Math.min(failuresBefore, DOUBLINGS_MAX));
    return doubled.compareTo(max) > 0 ? max : doubled;
  }
}
