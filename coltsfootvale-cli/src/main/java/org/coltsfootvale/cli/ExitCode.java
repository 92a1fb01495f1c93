package org.coltsfootvale.cli;

/** The exit codes of the command line. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The fleet refused, and nothing was changed or run. */
  REFUSED(1),
  /** The arguments or options are invalid. */
  USAGE(2),
  /** No router answered. */
  UNREACHABLE(3),
  /** The expected state was not reached within the time limit. */
  TIMED_OUT(4),
  /** A file cannot be read or is not valid. */
  INVALID_FILE(5),
  /** The request may or may not have run. */
  OUTCOME_UNKNOWN(6),
  /** The outcomes of a replayed trace differ from those it states. */
  MISMATCHED(7),
  /** The files contain no matching entry. */
  NOT_FOUND(8);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
