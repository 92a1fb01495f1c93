package org.coltsfootvale.cli;

/** The exit codes of the command line. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0),
  /** The fleet refused, and nothing was changed or run. */
  REFUSED(1),
  /** The command line itself is wrong. */
  USAGE(2),
  /** No router answered. */
  UNREACHABLE(3),
  /** The state waited for was not reached in time. */
  TIMED_OUT(4),
  /** A file cannot be read or is not valid. */
  INVALID_FILE(5),
  /** The request may or may not have run. */
  OUTCOME_UNKNOWN(6),
  /** A trace does not end as it states. */
  MISMATCHED(7),
  /** What was asked for is not in the files given. */
  NOT_FOUND(8);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the number that the process ends with. */
  public int number() {
    return number;
  }
}
