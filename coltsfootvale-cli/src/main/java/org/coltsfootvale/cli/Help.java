package org.coltsfootvale.cli;

import java.io.PrintWriter;
import java.util.List;
import org.apache.commons.cli.Option;

/** Prints the help texts. */
final class Help {

  private final PrintWriter out;

  Help(PrintWriter out) {
    this.out = out;
  }

  /** Prints the list of commands and the exit codes. */
  void list(List<Command> commands) {
    out.println("Usage: coltsfootvale COMMAND [options]");
    out.println();
    for (Command command : commands) {
      out.printf("  %-16s %s%n", command.name(), command.summary());
    }
    out.println();
    out.println("coltsfootvale COMMAND --help shows options and examples.");
    printExitCodes();
  }

  /** Prints the help of one command. */
  void show(Command command) {
    out.printf("Usage: coltsfootvale %s [options] %s%n", command.name(), command.arguments());
    out.printf("%n%s.%n%nOptions:%n", command.summary());
    for (Option option : CommonOptions.with(command).getOptions()) {
      String value = option.hasArg() ? " " + option.getArgName() : "";
      out.printf("  %-28s %s%n", "--" + option.getLongOpt() + value, option.getDescription());
    }
    out.printf("%nExamples:%n");
    command.examples().forEach(example -> out.println("  " + example));
    printExitCodes();
  }

  private void printExitCodes() {
    out.printf("%nExit codes: 0 done, 1 refused, 2 wrong usage, 3 no router answers,%n");
    out.printf("4 not reached in time, 5 invalid file, 6 outcome unknown, 7 trace differs.%n");
    out.flush();
  }
}
