package org.coltsfootvale.core.retry;

/** Decides the action after a failed attempt. Thread-safe. */
public interface RetryPolicy {

  /** Counts a new request towards the retry budget. */
  void requestStarted();

  /**
   * Decides the action after the failed attempt number {@code attempts}. Charges the retry budget
   * for another attempt, after a refusal only if that attempt is refused as well.
   */
  RetryDecision decide(RequestTraits traits, int attempts, AttemptFailure failure);
}
