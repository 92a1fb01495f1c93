package org.coltsfootvale.verify.slopes;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Prints a table of the costs of membership and gossip at several sizes of the fleet. */
public final class SlopesCommand {

  private static final String SEED = "4";
  private static final String WARM_UP_SECONDS = "60";
  private static final String UNIFORM = "uniform";

  /**
   * The uniform baseline sorts all pending entries per message, which takes minutes beyond this
   * size.
   */
  private static final int UNIFORM_ROUTERS_MAX = 20;

  private static final Options OPTIONS =
      new Options()
          .addOption("g", "gossip", true, "mesh, random or uniform; all by default")
          .addOption("r", "routers", true, "6, 20, 80, 160 or 320; all by default")
          .addOption("w", "warm-up-seconds", true, "the time before the window, 60 by default")
          .addOption("s", "seed", true, "the seed, 4 by default");

  private SlopesCommand() {}

  /**
   * Runs the command.
   *
   * @throws IllegalArgumentException if an option is unknown or has no valid value
   */
  public static void run(String... args) {
    CommandLine line = parse(args);
    long seed = Long.parseLong(line.getOptionValue("seed", SEED));
    System.out.println(SlopeRow.HEADING);
    for (FleetShape shape : FleetShape.SIZES) {
      String routers = String.valueOf(shape.routers());
      if (line.getOptionValue("routers", routers).equals(routers)) {
        gossipFactories().forEach((name, factory) -> measure(line, name, shape, factory, seed));
      }
    }
  }

  private static void measure(
      CommandLine line, String name, FleetShape shape, GossipFactory factory, long seed) {
    boolean selected = line.getOptionValue("gossip", name).equals(name);
    boolean tooSlow = name.equals(UNIFORM) && shape.routers() > UNIFORM_ROUTERS_MAX;
    if (selected && !tooSlow) {
      Duration warmUp =
          Duration.ofSeconds(
              Long.parseLong(line.getOptionValue("warm-up-seconds", WARM_UP_SECONDS)));
      System.out.println(
          new SlopeMeasurement(name, shape, factory, seed, warmUp).run().toMarkdown());
    }
  }

  private static Map<String, GossipFactory> gossipFactories() {
    Map<String, GossipFactory> kinds = new LinkedHashMap<>();
    kinds.put("mesh", GossipFactory.mesh());
    kinds.put("random", GossipFactory.randomLinks());
    kinds.put(UNIFORM, GossipFactory.uniform());
    return kinds;
  }

  private static CommandLine parse(String... args) {
    try {
      return new DefaultParser().parse(OPTIONS, args);
    } catch (ParseException e) {
      throw new IllegalArgumentException(
          "slopes takes --gossip, --routers, --warm-up-seconds and --seed: " + e.getMessage(), e);
    }
  }
}
