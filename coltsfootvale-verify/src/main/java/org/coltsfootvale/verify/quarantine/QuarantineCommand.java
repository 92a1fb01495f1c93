package org.coltsfootvale.verify.quarantine;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Prints, for several generated loads, the requests with a fatal part that are sent too late and
 * the sound requests that are refused: with all mechanisms, and with one switched off.
 */
public final class QuarantineCommand {

  /** The number of seeds of each load. */
  static final int SEEDS = 60;

  /** The loads: fatal requests at several rates, beside crashes of other causes. */
  static final List<CrashingFleet.Load> LOADS =
      List.of(
          new CrashingFleet.Load("a few fatal requests", 6, 8, 0.02, 2, 0, 0),
          new CrashingFleet.Load("many fatal requests", 6, 8, 0.3, 2, 0, 0),
          new CrashingFleet.Load("a large fleet", 40, 30, 0.05, 2, 0, 0),
          new CrashingFleet.Load("two replicas", 3, 2, 0.03, 2, 0, 0),
          new CrashingFleet.Load("hosts that fail together", 6, 8, 0.02, 2, 6, 0),
          new CrashingFleet.Load("crashes of other causes", 6, 8, 0.02, 2, 2, 0.5),
          new CrashingFleet.Load("fatal requests about all subjects", 6, 8, 0.1, 30, 0, 0),
          new CrashingFleet.Load("all subjects, a large fleet", 40, 30, 0.1, 30, 2, 0.5),
          new CrashingFleet.Load("no fatal request", 6, 8, 0, 2, 6, 1));

  private final PrintStream out;

  /** Creates a command that prints to a stream. */
  public QuarantineCommand(PrintStream out) {
    this.out = out;
  }

  /** Runs all loads, prints the results and returns the exit status, which is 0. */
  public int run() {
    out.println("load; ablation; late sends (most in one run); sound requests refused, sent");
    for (CrashingFleet.Load load : LOADS) {
      for (CrashingFleet.Ablation ablation : CrashingFleet.Ablation.values()) {
        print(load, ablation);
      }
    }
    return 0;
  }

  private void print(CrashingFleet.Load load, CrashingFleet.Ablation ablation) {
    long lateSends = 0;
    long lateSendsMax = 0;
    long refused = 0;
    long sent = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      CrashingFleet fleet = new CrashingFleet(load, seed, ablation).run();
      lateSends += fleet.lateFatalSends();
      lateSendsMax = Math.max(lateSendsMax, fleet.lateFatalSends());
      refused += fleet.soundRefused();
      sent += fleet.soundSent();
    }
    out.println(
        String.format(
            Locale.ROOT,
            "%s; %s; %d (%d); %d, %d",
            load.name(),
            ablation,
            lateSends,
            lateSendsMax,
            refused,
            sent));
  }
}
