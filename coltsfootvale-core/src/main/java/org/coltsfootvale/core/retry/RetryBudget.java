package org.coltsfootvale.core.retry;

/**
 * A budget of retries that grows by a fixed ratio with each new request, so that in the long run
 * retries do not exceed that ratio of the requests. Thread-safe.
 */
final class RetryBudget {

  private final double ratio;
  private final int max;
  private double balance;

  /** Creates a budget that starts full. */
  RetryBudget(double ratio, int max) {
    this.ratio = ratio;
    this.max = max;
    this.balance = max;
  }

  /** Adds the ratio for a new request. */
  synchronized void deposit() {
    balance = Math.min(max, balance + ratio);
  }

  /** Returns whether the balance covers a retry. */
  synchronized boolean isAvailable() {
    return balance >= 1;
  }

  /** Withdraws one retry; returns false if the balance does not cover it. */
  synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /** Withdraws one retry that was already made; the balance may become negative. */
  synchronized void forceWithdraw() {
    balance -= 1;
  }
}
