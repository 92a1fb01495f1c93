package org.coltsfootvale.testkit.caller;

/** The outcome of a request for an answer. */
enum TurnOutcome {
  /** The complete and correct answer was received. */
  WHOLE,
  /** The answer was marked as complete, but its text is not the expected one. */
  WRONG,
  /** The stream ended without end marker and without error. */
  TRUNCATED,
  /** The request was refused and not executed. */
  NOT_RUN,
  /** The router reported that the request may have been executed. */
  UNKNOWN,
  /** The connection was lost. */
  CONNECTION_LOST,
  /** No connection could be established. */
  UNREACHABLE;

  /** Returns the name used in reports. */
  String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }
}
