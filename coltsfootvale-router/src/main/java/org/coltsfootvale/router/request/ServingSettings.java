package org.coltsfootvale.router.request;

import org.coltsfootvale.core.support.Checks;

/**
 * Limits of the requests that a router serves.
 *
 * @param deadlineMillisDefault the deadline of a request without one, 1..600000
 * @param chatBodyBytesMax the maximum body size of a chat
 * @param storedAnswerBytesMax the maximum size of an answer stored under its idempotency key
 * @param requestsInProgressMax the maximum number of concurrent requests; more are refused
 * @param outputTokensDefault the expected length of an answer whose request has no limit
 */
public record ServingSettings(
    int deadlineMillisDefault,
    int chatBodyBytesMax,
    int storedAnswerBytesMax,
    int requestsInProgressMax,
    int outputTokensDefault) {

  /** The maximum deadline that a caller may request. */
  public static final int DEADLINE_MILLIS_MAX = 600_000;

  /** The default limits. */
  public static final ServingSettings DEFAULT =
      new ServingSettings(60_000, 4 << 20, 1 << 20, 4_096, 256);

  /** Validates the ranges. */
  public ServingSettings {
    Checks.range(deadlineMillisDefault, 1, DEADLINE_MILLIS_MAX, "deadlineMillisDefault");
    Checks.range(chatBodyBytesMax, 1, 64 << 20, "chatBodyBytesMax");
    Checks.range(storedAnswerBytesMax, 1, 64 << 20, "storedAnswerBytesMax");
    Checks.range(requestsInProgressMax, 1, 100_000, "requestsInProgressMax");
    Checks.range(outputTokensDefault, 1, 1 << 20, "outputTokensDefault");
  }
}
