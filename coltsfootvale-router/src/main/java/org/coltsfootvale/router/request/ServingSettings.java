package org.coltsfootvale.router.request;

import org.coltsfootvale.core.support.Checks;

/**
 * Limits of the requests that a router serves.
 *
 * @param deadlineMillisDefault the deadline of a request that states none, 1..600000
 * @param chatBodyBytesMax the largest body of a chat
 * @param storedAnswerBytesMax the largest answer kept for repeated callers of a key
 * @param requestsInProgressMax how many requests are served at once; more are refused
 * @param outputTokensDefault the expected length of an answer whose request states none
 */
public record ServingSettings(
    int deadlineMillisDefault,
    int chatBodyBytesMax,
    int storedAnswerBytesMax,
    int requestsInProgressMax,
    int outputTokensDefault) {

  /** The longest deadline that a caller may ask for. */
  public static final int DEADLINE_MILLIS_MAX = 600_000;

  /** The limits that hold unless the settings state others. */
  public static final ServingSettings DEFAULT =
      new ServingSettings(60_000, 4 << 20, 1 << 20, 4_096, 256);

  /** Checks the ranges. */
  public ServingSettings {
    Checks.range(deadlineMillisDefault, 1, DEADLINE_MILLIS_MAX, "deadlineMillisDefault");
    Checks.range(chatBodyBytesMax, 1, 64 << 20, "chatBodyBytesMax");
    Checks.range(storedAnswerBytesMax, 1, 64 << 20, "storedAnswerBytesMax");
    Checks.range(requestsInProgressMax, 1, 100_000, "requestsInProgressMax");
    Checks.range(outputTokensDefault, 1, 1 << 20, "outputTokensDefault");
  }
}
