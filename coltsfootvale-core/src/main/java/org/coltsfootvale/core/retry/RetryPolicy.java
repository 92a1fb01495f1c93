package org.coltsfootvale.core.retry;

/** Decides what follows a failed attempt. Thread-safe. */
public interface RetryPolicy {

  /** Counts a new request towards the retry budget. */
  void requestStarted();

  /**
   * Decides what follows the {@code attempts}-th attempt, which has failed. Draws on the retry
   * budget when it allows another attempt after {@code SENT}.
   */
  RetryDecision decide(RequestTraits traits, int attempts, AttemptFailure failure);
}
