package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * Computes the retry delay of refused callers: the time to drain the queue at the present
 * completion rate, plus a random spread so that callers refused together do not return together.
 */
final class RetryDelay {

  /**
   * The shortest delay; a slot is usually free again after about the duration of a short request.
   */
  static final Duration MIN = Duration.ofMillis(150);

  /** The shortest interval over which retries are spread. */
  static final Duration SPREAD_MIN = Duration.ofMillis(500);

  /** The longest drain time; beyond it the completion rate says little about the load. */
  static final Duration WAIT_MAX = Duration.ofSeconds(4);

  private RetryDelay() {}

  /**
   * Returns the retry delay.
   *
   * @param waiting the number of queued requests
   * @param completions the number of requests completed within the window
   * @param window the length of the completion window
   * @param random a uniform random number in [0, 1)
   */
  static Duration compute(int waiting, long completions, Duration window, double random) {
    double waitNanos = 0;
    if (waiting > 0) {
      double completionsPerNano = Math.max(1, completions) / (double) window.toNanos();
      waitNanos = Math.min(WAIT_MAX.toNanos(), waiting / completionsPerNano);
    }
    double spreadNanos = Math.max(SPREAD_MIN.toNanos(), waitNanos);
    return MIN.plusNanos((long) (waitNanos + spreadNanos * random));
  }
}
