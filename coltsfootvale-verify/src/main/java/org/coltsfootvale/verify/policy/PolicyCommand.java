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

/** Compares placement policies and prints a table. */
public final class PolicyCommand {

  private static final double[] LOAD_BOUNDS = {1.1, 1.25, 1.5, 2};
  private static final double[] LOAD_BOUND_LARGE_FLEET = {1.25};
  private static final int LOAD_BOUND_CURVE_ENGINES_MAX = 100;
  private static final int CANDIDATES_PER_CHAT = 3;
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

  /** Creates a command that prints to a stream. */
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
    List<WorkloadMix> mixes =
        mix.equals("BOTH") ? List.of(WorkloadMix.values()) : List.of(WorkloadMix.valueOf(mix));
    for (WorkloadMix each : mixes) {
      FleetSize fleetSize =
          size.equals("letter") ? FleetSize.designTarget() : FleetSize.today(each);
      measure(each, fleetSize, seed, !line.hasOption("own"));
    }
  }

  private void measure(WorkloadMix mix, FleetSize size, long seed, boolean withBaselines) {
    List<Arrival> arrivals = new WorkloadGenerator(mix, size, seed).generate();
    ChurnPlan churn = ChurnPlan.generate(size, seed);
    double bound = new ReuseUpperBound(size, mix).reuseShare(arrivals, churn);
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
      for (Policies.PlacementPolicy policy : Policies.baselines(PolicySpec.DEFAULT.loadBound())) {
        if (isLarge(size) && policy.loadSource() == LoadSource.ACTUAL_LOADS) {
          continue;
        }
        printRow(run(policy, size, mix, PolicySpec.DEFAULT.loadBound(), churn, arrivals, seed));
      }
    }
    for (double loadBound : isLarge(size) ? LOAD_BOUND_LARGE_FLEET : LOAD_BOUNDS) {
      for (Policies.PlacementPolicy policy : routerPolicies(loadBound, isLarge(size))) {
        printRow(run(policy, size, mix, loadBound, churn, arrivals, seed));
      }
    }
  }

  /** Returns whether the load bound curve and the rule with actual loads would take too long. */
  private static boolean isLarge(FleetSize size) {
    return size.engines() > LOAD_BOUND_CURVE_ENGINES_MAX;
  }

  /**
   * Returns variants of the router's own policy; in a large fleet only those without the exchange.
   */
  private static List<Policies.PlacementPolicy> routerPolicies(double loadBound, boolean large) {
    List<Policies.PlacementPolicy> policies = new ArrayList<>();
    String suffix = String.format(Locale.ROOT, " c=%.2f", loadBound);
    PlacementOptions options = PlacementOptions.DEFAULT;
    if (large) {
      policies.add(
          Policies.routerPolicy(
              "own, reports only" + suffix, options, true, LoadSource.DELAYED_REPORTS, false));
      policies.add(
          Policies.routerPolicy("own" + suffix, options, true, LoadSource.DELAYED_REPORTS, true));
      return policies;
    }
    policies.add(
        Policies.routerPolicy(
            "own, no hint" + suffix, options, false, LoadSource.REPORTS_AND_COUNTS, true));
    policies.add(
        Policies.routerPolicy(
            "own, reports only" + suffix, options, true, LoadSource.DELAYED_REPORTS, false));
    policies.add(
        Policies.routerPolicy(
            "own, exchange" + suffix, options, true, LoadSource.REPORTS_AND_COUNTS, false));
    policies.add(
        Policies.routerPolicy(
            "own, refusal" + suffix, options, true, LoadSource.DELAYED_REPORTS, true));
    policies.add(
        Policies.routerPolicy("own" + suffix, options, true, LoadSource.REPORTS_AND_COUNTS, true));
    return policies;
  }

  private static PolicyResult run(
      Policies.PlacementPolicy policy,
      FleetSize size,
      WorkloadMix mix,
      double loadBound,
      ChurnPlan churn,
      List<Arrival> arrivals,
      long seed) {
    PolicySpec spec = new PolicySpec(loadBound, CANDIDATES_PER_CHAT);
    return new PolicyRun(policy, size, mix, spec, churn, seed).run(arrivals);
  }

  private void printRow(PolicyResult r) {
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
        r.controlBytesPerSecond());
  }
}
