package org.coltsfootvale.core.course;

/** What follows when an attempt to serve a request has ended. */
public enum NextStep {
  /** The request is placed again and sent from its beginning. */
  SEND_AGAIN,
  /** The request is placed again and goes on after the last event that was delivered. */
  RESUME,
  /** The answer of the replica is delivered as it is. */
  DELIVER,
  /** The caller is told that the request has not run. */
  REFUSE,
  /** The caller is told that the request may have run and has no answer. */
  FAIL,
  /** The answer that has begun is broken off, so that it cannot be taken for a whole one. */
  BREAK_OFF
}
