package org.coltsfootvale.core.course;

import java.time.Duration;

/**
 * Decides which requests a stopping router accepts. While callers may still hold an address list
 * from before the stop, it serves them all; later only requests whose time limit lies before its
 * end, as the others might be cut.
 */
public final class DrainAdmission {

  private final Duration openFor;
  private final Duration endsAfter;

  /**
   * Creates the rule for a stop.
   *
   * @param openFor how long after its begin every request is accepted
   * @param endsAfter how long after its begin the last answers have to be complete
   */
  public DrainAdmission(Duration openFor, Duration endsAfter) {
    this.openFor = openFor;
    this.endsAfter = endsAfter;
  }

  /**
   * Returns whether to accept a request.
   *
   * @param sinceBegin the time since the begin of the stop
   * @param timeLeft the time until the deadline of the request
   */
  public boolean accepts(Duration sinceBegin, Duration timeLeft) {
    return sinceBegin.compareTo(openFor) < 0 || sinceBegin.plus(timeLeft).compareTo(endsAfter) <= 0;
  }
}
