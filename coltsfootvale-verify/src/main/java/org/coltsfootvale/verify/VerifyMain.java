package org.coltsfootvale.verify;

import java.util.Arrays;
import org.coltsfootvale.verify.cost.CostCommand;
import org.coltsfootvale.verify.memory.MemoryCommand;
import org.coltsfootvale.verify.placement.PlacementCommand;
import org.coltsfootvale.verify.policy.LimitsCommand;
import org.coltsfootvale.verify.policy.PolicyCommand;
import org.coltsfootvale.verify.quarantine.QuarantineCommand;
import org.coltsfootvale.verify.slopes.SlopesCommand;

/** Command line entry point of the measurements. */
public final class VerifyMain {

  private static final int EXIT_USAGE = 2;

  private VerifyMain() {}

  /** Runs the command named by the first argument and exits with its status. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  private static int run(String[] args) {
    String command = args.length == 0 ? "" : args[0];
    String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
    return switch (command) {
      case "cost" -> new CostCommand(System.out).run(rest);
      case "memory" -> new MemoryCommand(System.out).run();
      case "placement" -> new PlacementCommand(System.out).run();
      case "policy" -> new PolicyCommand(System.out).run(rest);
      case "limits" -> new LimitsCommand(System.out).run(rest);
      case "quarantine" -> new QuarantineCommand(System.out).run();
      case "slopes" -> slopes(rest);
      default -> usage();
    };
  }

  private static int slopes(String[] args) {
    SlopesCommand.run(args);
    return 0;
  }

  private static int usage() {
    System.err.println(
        "commands: cost | limits | memory | placement | policy | quarantine"
            + " | slopes [--gossip KIND] [--routers N] [--seed S]");
    return EXIT_USAGE;
  }
}
