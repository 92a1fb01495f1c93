package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.error.ColtsfootvaleException;

/** The action after a failed attempt. */
public sealed interface RetryDecision {

  /** Sends the request to another backend server after a delay. */
  record Failover(Duration delay) implements RetryDecision {}

  /** Resumes the partial answer at the same engine on a new connection after a delay. */
  record Resume(Duration delay) implements RetryDecision {}

  /** Ends the request with an error immediately. */
  record GiveUp(ColtsfootvaleException error) implements RetryDecision {}
}
