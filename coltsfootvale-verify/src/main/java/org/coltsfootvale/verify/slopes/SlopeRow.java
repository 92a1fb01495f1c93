package org.coltsfootvale.verify.slopes;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The figures of one fleet.
 *
 * @param name the kind of gossip
 * @param shape the size of the fleet
 * @param seed the seed of the run
 * @param meanBytesPerSecond bytes sent and received by a router each second, mean over routers
 * @param maxBytesPerSecond the same of the router that spends most
 * @param betweenDataCentres the share of bytes that cross data centres
 * @param betweenRegions the share of bytes that cross regions
 * @param cpuPercent processor time of a router in percent of a core, mean over routers
 * @param microsPerMessage processor time for each received message
 * @param kilobytes heap of a router
 * @param revision the time until each router has applied a revision, in milliseconds
 * @param revisionHops the largest number of hops a revision took
 * @param leaving the time until each router knows that an engine leaves, in milliseconds
 * @param loadAge the age of the load reports that routers hold, in milliseconds
 * @param heldBackPerSecond entries of a router that wait for budget, counted at each message
 */
record SlopeRow(
    String name,
    FleetShape shape,
    long seed,
    double meanBytesPerSecond,
    double maxBytesPerSecond,
    double betweenDataCentres,
    double betweenRegions,
    double cpuPercent,
    double microsPerMessage,
    double kilobytes,
    Histogram revision,
    int revisionHops,
    Histogram leaving,
    Histogram loadAge,
    double heldBackPerSecond) {

  /** The heading of the table. */
  static final String HEADING =
      """
      | gossip | routers/engines | seed | B/s mean | B/s max | between DCs | between regions \
      | core % | us/message | KB heap | revision ms p50/max | hops | leaving ms p50/max \
      | load age ms p50/p99 | held back/s |
      |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|""";

  /** Returns the row in Markdown. */
  String toMarkdown() {
    return String.format(
        Locale.ROOT,
        "| %s | %d/%d | %d | %.0f | %.0f | %.0f%% | %.0f%% | %.3f | %.1f | %.0f | %s | %d | %s"
            + " | %d/%d | %.0f |",
        name,
        shape.routers(),
        shape.engines(),
        seed,
        meanBytesPerSecond,
        maxBytesPerSecond,
        betweenDataCentres * 100,
        betweenRegions * 100,
        cpuPercent,
        microsPerMessage,
        kilobytes,
        spread(revision),
        revisionHops,
        spread(leaving),
        loadAge.getValueAtPercentile(50),
        loadAge.getValueAtPercentile(99),
        heldBackPerSecond);
  }

  private static String spread(Histogram histogram) {
    return histogram.getValueAtPercentile(50) + "/" + histogram.getMaxValue();
  }
}
