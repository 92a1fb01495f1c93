package org.coltsfootvale.cli;

import java.util.List;
import org.apache.commons.cli.Option;

/** One command of the command line. */
interface Command {

  /** Returns the words that name the command, for example {@code note submit}. */
  String name();

  /** Returns a one-line description of the command. */
  String summary();

  /** Returns the arguments as shown in the help; empty if there are none. */
  String arguments();

  /** Returns the options specific to the command. */
  List<Option> options();

  /** Returns example invocations shown in the help. */
  List<String> examples();

  /**
   * Runs the command.
   *
   * @throws CliException if it fails
   */
  ExitCode run(Invocation invocation);
}
