package org.coltsfootvale.cli;

/** A failure of a command, with its exit code, kind, detail and remedy. */
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

  /** Returns a failure caused by invalid arguments or options. */
  static CliException usage(String detail, String remedy) {
    return new CliException(ExitCode.USAGE, "USAGE", detail, remedy);
  }

  /** Returns a failure caused by an unreadable or invalid file. */
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
