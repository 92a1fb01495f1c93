package org.coltsfootvale.testkit.caller;

/** How a request for an answer ended. */
enum TurnOutcome {
  /** The whole answer came, and it is the caller's own. */
  WHOLE,
  /** An answer came that is not the caller's own or not the whole one, although it says so. */
  WRONG,
  /** The stream ended without its end marker and without an error. */
  TRUNCATED,
  /** The request was refused and did not run. */
  NOT_RUN,
  /** The request may have run, says the router. */
  UNKNOWN,
  /** The connection broke. */
  CONNECTION_LOST,
  /** No connection could be made. */
  UNREACHABLE;

  /** Returns the name in reports. */
  String shown() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }
}
