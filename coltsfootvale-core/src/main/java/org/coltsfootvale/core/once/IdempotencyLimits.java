package org.coltsfootvale.core.once;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Bounds of the key memory and of claims.
 *
 * @param keysMax the greatest number of keys held
 * @param storedBytesMax the greatest sum of stored answers in bytes
 * @param answerBytesMax the largest answer that is stored; of a larger one only the outcome is
 * @param claimLifetime how long a claim lasts at least; callers must not send a key without a home
 *     again later than this after its first use
 * @param pauseMax a longer pause of this process is noticed, and requests that may have waited
 *     during it are not claimed; less than an eighth of {@code claimLifetime}
 * @param claimMargin how long before its claim's end a router stops sending
 */
public record IdempotencyLimits(
    int keysMax,
    long storedBytesMax,
    int answerBytesMax,
    Duration claimLifetime,
    Duration pauseMax,
    Duration claimMargin) {

  private static final Duration PAUSE_MAX = Duration.ofSeconds(5);

  /** The bounds for a process of 128 MB. */
  public static final IdempotencyLimits DEFAULT =
      new IdempotencyLimits(
          50_000,
          16L * 1024 * 1024,
          64 * 1024,
          Duration.ofMinutes(15),
          Duration.ofSeconds(5),
          Duration.ofSeconds(10));

  /** Creates bounds with the default for the pause that is noticed. */
  public IdempotencyLimits(
      int keysMax,
      long storedBytesMax,
      int answerBytesMax,
      Duration claimLifetime,
      Duration claimMargin) {
    this(keysMax, storedBytesMax, answerBytesMax, claimLifetime, PAUSE_MAX, claimMargin);
  }

  /** Checks the bounds. */
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
