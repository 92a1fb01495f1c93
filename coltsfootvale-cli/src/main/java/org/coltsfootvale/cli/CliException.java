package org.coltsfootvale.cli;

/** A command that failed, with its exit code, what went wrong and what to do about it. */
final class CliException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final String kind;
  private final String remedy;

  CliException(ExitCode exitCode, String kind, String detail, String remedy) {
    super(detail);
    this.exitCode = exitCode;
    this.kind = kind;
    this.remedy = remedy;
  }

  /** Returns a failure of the command line itself. */
  static CliException usage(String detail, String remedy) {
    return new CliException(ExitCode.USAGE, "USAGE", detail, remedy);
  }

  /** Returns a failure of a file. */
  static CliException invalidFile(String detail, String remedy) {
    return new CliException(ExitCode.INVALID_FILE, "INVALID_FILE", detail, remedy);
  }

  ExitCode exitCode() {
    return exitCode;
  }

  String kind() {
    return kind;
  }

  String remedy() {
    return remedy;
  }
}
