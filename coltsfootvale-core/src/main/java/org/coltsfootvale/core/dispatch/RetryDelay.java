package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * When a caller that was refused is best served if it comes back: once those that wait ahead of it
 * have been served at the present rate, and spread over the time after that, so that callers which
 * were refused together do not return together.
 */
final class RetryDelay {

  /** A place that is lost by chance is free again after about the time of a short request. */
  static final Duration MIN = Duration.ofMillis(150);

  /** The shortest time over which returns are spread. */
  static final Duration SPREAD_MIN = Duration.ofMillis(500);

  /** Beyond this the rate of completions says little about the load. */
  static final Duration WAIT_MAX = Duration.ofSeconds(4);

  private RetryDelay() {}

  /**
   * Returns the time to come back after.
   *
   * @param waiting the requests that wait
   * @param completions the requests that were completed within the window
   * @param window the time in which completions were counted
   * @param random a number in [0, 1)
   */
  static Duration compute(int waiting, long completions, Duration window, double random) {
    double waitNanos = 0;
    if (waiting > 0) {
      double perNano = Math.max(1, completions) / (double) window.toNanos();
      waitNanos = Math.min(WAIT_MAX.toNanos(), waiting / perNano);
    }
    double spreadNanos = Math.max(SPREAD_MIN.toNanos(), waitNanos);
    return MIN.plusNanos((long) (waitNanos + spreadNanos * random));
  }
}
