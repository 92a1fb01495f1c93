package org.coltsfootvale.verify.slopes;

import java.util.LinkedHashMap;
import java.util.Map;

/** Prints a table of what membership and gossip cost at several sizes of the fleet. */
public final class SlopesCommand {

  private static final long SEED = 4;
  private static final String UNIFORM = "uniform";

  /** The baseline sorts all its changes for each message, which takes minutes beyond this size. */
  private static final int UNIFORM_ROUTERS_MAX = 20;

  private SlopesCommand() {}

  /**
   * Runs the command.
   *
   * @param args {@code [routersMax [seed]]}
   */
  public static void run(String... args) {
    int routersMax = args.length > 0 ? Integer.parseInt(args[0]) : Integer.MAX_VALUE;
    long seed = args.length > 1 ? Long.parseLong(args[1]) : SEED;
    Map<String, GossipFactory> kinds = new LinkedHashMap<>();
    kinds.put("mesh", GossipFactory.mesh());
    kinds.put("random links", GossipFactory.randomLinks());
    kinds.put(UNIFORM, GossipFactory.uniform());
    System.out.println(SlopeRow.HEADING);
    for (FleetShape shape : FleetShape.SIZES) {
      if (shape.routers() <= routersMax) {
        kinds.forEach((name, factory) -> measure(name, shape, factory, seed));
      }
    }
  }

  private static void measure(String name, FleetShape shape, GossipFactory factory, long seed) {
    boolean tooSlow = name.equals(UNIFORM) && shape.routers() > UNIFORM_ROUTERS_MAX;
    if (!tooSlow) {
      System.out.println(new SlopeMeasurement(name, shape, factory, seed).run().toMarkdown());
    }
  }
}
