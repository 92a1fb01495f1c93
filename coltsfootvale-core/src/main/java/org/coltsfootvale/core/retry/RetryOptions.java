package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The constants of the retry policy.
 *
 * @param attemptsMax the greatest number of attempts of one request, at least 1
 * @param budgetRatio how many retries a new request earns, 0 to 1
 * @param budgetMax the greatest number of retries that can be saved up, at least 0
 * @param delayBase the longest delay before the first retry after a request was sent; doubles with
 *     each attempt
 * @param delayMax the longest delay before any retry
 */
public record RetryOptions(
    int attemptsMax, double budgetRatio, int budgetMax, Duration delayBase, Duration delayMax) {

  /** The values used unless the settings say otherwise. */
  public static final RetryOptions DEFAULT =
      new RetryOptions(4, 0.08, 20, Duration.ofMillis(25), Duration.ofSeconds(1));

  /** Checks the ranges. */
  public RetryOptions {
    Checks.argument(attemptsMax >= 1, "attemptsMax must be at least 1, but is %d", attemptsMax);
    Checks.range(budgetRatio, 0, 1, "budgetRatio");
    Checks.argument(budgetMax >= 0, "budgetMax must be at least 0, but is %d", budgetMax);
  }
}
