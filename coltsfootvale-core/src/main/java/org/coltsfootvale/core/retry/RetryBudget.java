package org.coltsfootvale.core.retry;

/**
 * A budget of retries that grows by a fraction of one with each new request, so that retries never
 * exceed that fraction of the requests for long. Thread-safe.
 */
final class RetryBudget {

  private final double ratio;
  private final int max;
  private double saved;

  /** Creates a budget that starts full. */
  RetryBudget(double ratio, int max) {
    this.ratio = ratio;
    this.max = max;
    this.saved = max;
  }

  /** Adds what a new request earns. */
  synchronized void earn() {
    saved = Math.min(max, saved + ratio);
  }

  /** Returns whether the budget holds a whole retry. */
  synchronized boolean isAvailable() {
    return saved >= 1;
  }

  /** Takes one retry out of the budget; returns false if there is none. */
  synchronized boolean tryTake() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }

  /** Takes one retry that has already been made, into debt if need be. */
  synchronized void charge() {
    saved -= 1;
  }
}
