package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of the retry policy.
 *
 * @param attemptsMax the maximum number of attempts of one request, at least 1
 * @param budgetRatio the retries that each new request adds to the budget, 0 to 1
 * @param budgetMax the maximum balance of the budget in retries, at least 0
 * @param delayBase the maximum delay before the first retry of a request that was sent; doubles
 *     with each attempt
 * @param delayMax the maximum delay before any retry
 */
public record RetryOptions(
    int attemptsMax, double budgetRatio, int budgetMax, Duration delayBase, Duration delayMax) {

  /** The default values. */
  public static final RetryOptions DEFAULT =
      new RetryOptions(4, 0.08, 20, Duration.ofMillis(25), Duration.ofSeconds(1));

  /** Checks the ranges. */
  public RetryOptions {
    Checks.argument(attemptsMax >= 1, "attemptsMax must be at least 1, but is %d", attemptsMax);
    Checks.range(budgetRatio, 0, 1, "budgetRatio");
    Checks.argument(budgetMax >= 0, "budgetMax must be at least 0, but is %d", budgetMax);
  }
}
