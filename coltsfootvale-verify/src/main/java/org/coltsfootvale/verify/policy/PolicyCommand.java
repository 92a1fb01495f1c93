package org.coltsfootvale.verify.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.coltsfootvale.core.placement.PlacementOptions;
import org.coltsfootvale.core.release.PolicySpec;

/** Measures the policies beside each other and prints a table. */
public final class PolicyCommand {

  private static final double[] LOAD_BOUNDS = {1.1, 1.25, 1.5, 2};
  private static final double[] LOAD_BOUND = {1.25};
  private static final int ENGINES_OF_CURVE_MAX = 100;
  private static final int CANDIDATES = 3;
  private static final String HEADER =
      String.format(
          Locale.ROOT,
          "%-26s %7s %7s %7s %7s %7s %7s %6s %7s %7s %7s %7s %7s %6s %8s %7s",
          "policy",
          "reuse%",
          "skew50",
          "skew99",
          "skewmax",
          "sksurge",
          "skcalm",
          "idle%",
          "quick95",
          "qsurge",
          "long95",
          "refus%",
          "fail%",
          "att/rq",
          "movedGB",
          "B/s");

  private final PrintStream out;

  /** Creates the command. */
  public PolicyCommand(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the command.
   *
   * @param args {@code --seed N --size today|letter --mix lintulaskenta|consorzio|both}
   * @return the exit status: 0, or 2 if the arguments are wrong
   */
  public int run(String... args) {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("seed").hasArg().desc("seed, default 1").get());
    options.addOption(Option.builder().longOpt("size").hasArg().desc("today or letter").get());
    options.addOption(
        Option.builder().longOpt("mix").hasArg().desc("lintulaskenta, consorzio or both").get());
    options.addOption(Option.builder().longOpt("own").desc("leave the baselines out").get());
    try {
      measure(new DefaultParser().parse(options, args));
      return 0;
    } catch (ParseException | IllegalArgumentException e) {
      out.println(
          "policy: " + e.getMessage() + "; use --seed N --size today|letter --mix MIX [--own]");
      return 2;
    }
  }

  private void measure(CommandLine line) {
    long seed = Long.parseLong(line.getOptionValue("seed", "1"));
    String size = line.getOptionValue("size", "today");
    String mix = line.getOptionValue("mix", "both").toUpperCase(Locale.ROOT);
    List<Mix> mixes = mix.equals("BOTH") ? List.of(Mix.values()) : List.of(Mix.valueOf(mix));
    for (Mix each : mixes) {
      FleetSize fleetSize = size.equals("letter") ? FleetSize.letter() : FleetSize.today(each);
      measure(each, fleetSize, seed, !line.hasOption("own"));
    }
  }

  private void measure(Mix mix, FleetSize size, long seed, boolean withBaselines) {
    List<Arrival> arrivals = new WorkloadGenerator(mix, size, seed).generate();
    ChurnPlan churn = ChurnPlan.draw(size, seed);
    double bound = new UpperBound(size, mix).reuseShare(arrivals, churn);
    out.printf(
        Locale.ROOT,
        "%n%s, seed %d: %d routers, %d engines, %d requests in %d s%nupper bound of reuse %.1f%%%n",
        mix,
        seed,
        size.routers(),
        size.engines(),
        arrivals.size(),
        size.durationMillis() / 1000,
        100 * bound);
    out.println(HEADER);
    if (withBaselines) {
      for (Policies.Policy policy : Policies.baselines(PolicySpec.DEFAULT.loadBound())) {
        if (isLarge(size) && policy.information() == Information.PERFECT) {
          continue;
        }
        print(run(policy, size, mix, PolicySpec.DEFAULT.loadBound(), churn, arrivals, seed));
      }
    }
    for (double loadBound : isLarge(size) ? LOAD_BOUND : LOAD_BOUNDS) {
      for (Policies.Policy policy : ownPolicies(loadBound)) {
        print(run(policy, size, mix, loadBound, churn, arrivals, seed));
      }
    }
  }

  /** Returns whether the curve and the rule with perfect knowledge would take too long. */
  private static boolean isLarge(FleetSize size) {
    return size.engines() > ENGINES_OF_CURVE_MAX;
  }

  private static List<Policies.Policy> ownPolicies(double loadBound) {
    List<Policies.Policy> policies = new ArrayList<>();
    String suffix = String.format(Locale.ROOT, " c=%.2f", loadBound);
    PlacementOptions options = PlacementOptions.DEFAULT;
    policies.add(Policies.own("own, no hint" + suffix, options, false, Information.EXCHANGE, true));
    policies.add(
        Policies.own("own, reports only" + suffix, options, true, Information.REPORTS, false));
    policies.add(
        Policies.own("own, exchange" + suffix, options, true, Information.EXCHANGE, false));
    policies.add(Policies.own("own, refusal" + suffix, options, true, Information.REPORTS, true));
    policies.add(Policies.own("own" + suffix, options, true, Information.EXCHANGE, true));
    return policies;
  }

  private static RunResult run(
      Policies.Policy policy,
      FleetSize size,
      Mix mix,
      double loadBound,
      ChurnPlan churn,
      List<Arrival> arrivals,
      long seed) {
    PolicySpec spec = new PolicySpec(loadBound, CANDIDATES);
    return new PolicyRun(policy, size, mix, spec, churn, seed).run(arrivals);
  }

  private void print(RunResult r) {
    out.printf(
        Locale.ROOT,
        "%-26s %7.1f %7.2f %7.2f %7.2f %7.2f %7.2f %6.1f %7.0f %7.0f %7.0f %7.2f %7.2f %6.3f %8.1f %7.0f%n",
        r.policy(),
        100 * r.reuseShare(),
        r.skewMedian(),
        r.skewP99(),
        r.skewMax(),
        r.skewSurgeP99(),
        r.skewCalmP99(),
        100 * r.idleWindowsShare(),
        r.quickFirstTokenMillis(),
        r.quickSurgeFirstTokenMillis(),
        r.longFirstTokenMillis(),
        100 * r.refusedShare(),
        100 * r.failedShare(),
        r.attemptsPerRequest(),
        r.importedGigabytes(),
        r.reportBytesPerSecond());
  }
}
