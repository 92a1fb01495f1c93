package org.coltsfootvale.verify.policy;

import java.io.PrintStream;
import java.util.Locale;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;

/** Measures the error of fleet-wide limits, and the attempts per request during an outage. */
public final class LimitsCommand {

  private static final int EXIT_USAGE = 2;

  private final PrintStream out;

  /** Creates a command that prints to a stream. */
  public LimitsCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the command.
   *
   * @param args {@code --seed N}; 1 by default
   * @return the exit status: 0, or 2 if the arguments are wrong
   */
  public int run(String... args) {
    boolean seeded = args.length == 2 && args[0].equals("--seed") && args[1].matches("[0-9]{1,9}");
    if (args.length != 0 && !seeded) {
      out.println("limits: use --seed N");
      return EXIT_USAGE;
    }
    long seed = seeded ? Long.parseLong(args[1]) : 1;
    out.printf(Locale.ROOT, "seed %d%nadmitted against the exact limit, windows of 5 s%n", seed);
    out.printf(
        Locale.ROOT,
        "%-12s %8s %8s %8s %8s %8s%n",
        "scenario",
        "routers",
        "limit/s",
        "mean%",
        "lowest%",
        "highest%");
    for (LimitsRun.Scenario scenario : LimitsRun.Scenario.values()) {
      printErrors(6, 60, scenario, seed);
      printErrors(320, 60, scenario, seed);
    }
    out.printf(Locale.ROOT, "attempts per request while every engine fails%n");
    for (Stage stage : Stage.values()) {
      out.printf(
          Locale.ROOT,
          "%-12s without circuits %.3f, with circuits %.3f%n",
          stage,
          new OutageRun(stage, false, seed).attemptsPerRequest(),
          new OutageRun(stage, true, seed).attemptsPerRequest());
    }
    return 0;
  }

  private void printErrors(int routers, double limit, LimitsRun.Scenario scenario, long seed) {
    LimitsRun.Errors errors = new LimitsRun(routers, limit, scenario, seed).run();
    out.printf(
        Locale.ROOT,
        "%-12s %8d %8.0f %8.1f %8.1f %8.1f%n",
        scenario,
        routers,
        limit,
        100 * errors.mean(),
        100 * errors.lowest(),
        100 * errors.highest());
  }
}
