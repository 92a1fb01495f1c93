package org.coltsfootvale.core.once;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Limits of the stored keys and of claims.
 *
 * @param keysMax the maximum number of keys held
 * @param storedBytesMax the maximum total size of stored answers in bytes
 * @param answerBytesMax the maximum size of a stored answer in bytes; only the outcome of a larger
 *     one is stored
 * @param claimLifetime the minimum lifetime of a claim; callers must not resend a key without a
 *     home later than this after its first use
 * @param pauseMax the longest tolerated pause of this process; after a longer one, requests that
 *     may have waited during it are not claimed; less than an eighth of {@code claimLifetime}
 * @param claimMargin how long before the end of its claim a router stops sending
 */
public record IdempotencyLimits(
    int keysMax,
    long storedBytesMax,
    int answerBytesMax,
    Duration claimLifetime,
    Duration pauseMax,
    Duration claimMargin) {

  private static final Duration PAUSE_MAX_DEFAULT = Duration.ofSeconds(5);

  /** The limits for a process with 128 MB of memory. */
  public static final IdempotencyLimits DEFAULT =
      new IdempotencyLimits(
          50_000,
          16L * 1024 * 1024,
          64 * 1024,
          Duration.ofMinutes(15),
          Duration.ofSeconds(5),
          Duration.ofSeconds(10));

  /** Creates limits with the default {@code pauseMax}. */
  public IdempotencyLimits(
      int keysMax,
      long storedBytesMax,
      int answerBytesMax,
      Duration claimLifetime,
      Duration claimMargin) {
    this(keysMax, storedBytesMax, answerBytesMax, claimLifetime, PAUSE_MAX_DEFAULT, claimMargin);
  }

  /** Validates the limits. */
  public IdempotencyLimits {
    Checks.argument(keysMax >= 1, "keysMax must be at least 1, but is %d", keysMax);
    Checks.argument(
        pauseMax.multipliedBy(8).compareTo(claimLifetime) < 0,
        "pauseMax %s must be shorter than an eighth of claimLifetime %s",
        pauseMax,
        claimLifetime);
    Checks.argument(
        claimMargin.compareTo(claimLifetime) < 0,
        "claimMargin %s must be shorter than claimLifetime %s",
        claimMargin,
        claimLifetime);
  }
}
