package org.coltsfootvale.cli;

import java.util.List;
import org.apache.commons.cli.Option;

/** One command of the command line. */
interface Command {

  /** Returns the words that name the command, for example {@code note submit}. */
  String name();

  /** Returns what the command does, in one line. */
  String summary();

  /** Returns the arguments after the name as the help shows them; empty if there are none. */
  String arguments();

  /** Returns the options beside those that every command has. */
  List<Option> options();

  /** Returns examples that can be copied. */
  List<String> examples();

  /**
   * Runs the command.
   *
   * @throws CliException if it fails
   */
  ExitCode run(Invocation invocation);
}
