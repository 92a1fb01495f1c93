package org.coltsfootvale.core.support;

import java.time.Duration;

/**
 * Pauses that double with each failure in a row.
 *
 * @param min the pause after the first failure
 * @param max the longest pause
 */
public record Backoff(Duration min, Duration max) {

  /** More doublings than this reach any sensible longest pause. */
  private static final int DOUBLINGS_MAX = 20;

  /**
   * Returns the pause after a failure.
   *
   * @param failuresBefore the failures in a row before it, 0 or more
   */
  public Duration after(int failuresBefore) {
    Duration doubled = min.multipliedBy(1L << Math.min(failuresBefore, DOUBLINGS_MAX));
    return doubled.compareTo(max) > 0 ? max : doubled;
  }
}
