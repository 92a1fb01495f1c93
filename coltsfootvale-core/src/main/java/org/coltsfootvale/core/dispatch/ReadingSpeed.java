package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * Estimates how fast the engines of a service read prompts, by the time that long prompts take to
 * their first event. What else an engine does makes a prompt slower and never faster, so that fast
 * readings count more. Confined to one thread.
 */
final class ReadingSpeed {

  /** Shorter readings tell more of the way to the replica than of the reading. */
  private static final int TOKENS_MIN = 2_000;

  /** What a request takes besides the reading: its way there and back, and the first step. */
  private static final Duration OVERHEAD = Duration.ofMillis(10);

  private static final double FASTER_WEIGHT = 0.3;
  private static final double SLOWER_WEIGHT = 0.05;

  /** How far the estimate may depart from what it began with, either way. */
  private static final double DEPARTURE_MAX = 4;

  private static final double NANOS_PER_MILLI = 1e6;

  private final double priorTokensPerMilli;
  private double tokensPerMilli;

  /**
   * Creates an estimate.
   *
   * @param priorTokensPerMilli the speed before anything is observed
   */
  ReadingSpeed(double priorTokensPerMilli) {
    this.priorTokensPerMilli = priorTokensPerMilli;
    this.tokensPerMilli = priorTokensPerMilli;
  }

  /** Takes note that the first event came so long after a request with a prompt was sent. */
  void observed(int readTokens, long tookNanos) {
    long readingNanos = tookNanos - OVERHEAD.toNanos();
    if (readTokens < TOKENS_MIN || readingNanos <= 0) {
      return;
    }
    double seen = readTokens / (readingNanos / NANOS_PER_MILLI);
    double weight = seen > tokensPerMilli ? FASTER_WEIGHT : SLOWER_WEIGHT;
    double latest = tokensPerMilli + weight * (seen - tokensPerMilli);
    tokensPerMilli =
        Math.max(
            priorTokensPerMilli / DEPARTURE_MAX,
            Math.min(priorTokensPerMilli * DEPARTURE_MAX, latest));
  }

  /** Returns how long an idle engine takes to read so many tokens. */
  long nanosFor(long tokens) {
    return (long) (tokens / tokensPerMilli * NANOS_PER_MILLI);
  }

  /** Returns the estimate. */
  double tokensPerMilli() {
    return tokensPerMilli;
  }
}
