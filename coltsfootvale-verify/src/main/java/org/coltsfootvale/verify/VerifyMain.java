package org.coltsfootvale.verify;

import java.util.Arrays;
import org.coltsfootvale.verify.slopes.SlopesCommand;

/** Starts a measurement, a trace replay or a specification check by its name. */
public final class VerifyMain {

  private static final int EXIT_USAGE = 2;

  private VerifyMain() {}

  /** Runs the command named by the first argument. */
  public static void main(String[] args) {
    String command = args.length == 0 ? "" : args[0];
    String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
    switch (command) {
      case "slopes" -> SlopesCommand.run(rest);
      default -> {
        System.err.println("commands: slopes [--gossip KIND] [--routers N] [--seed S]");
        System.exit(EXIT_USAGE);
      }
    }
  }
}
