package org.coltsfootvale.verify.slopes;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Results of the measurement of one fleet.
 *
 * @param name the kind of gossip
 * @param shape the size of the fleet
 * @param seed the seed of the run
 * @param meanBytesPerSecond the bytes sent and received per second by a router, mean over routers
 * @param maxBytesPerSecond the maximum of the same over routers
 * @param betweenDataCentresShare the share of bytes sent between data centres
 * @param betweenRegionsShare the share of bytes sent between regions
 * @param cpuPercent the processor time of a router in percent of a core, mean over routers
 * @param microsPerMessage the processor time in microseconds per received message
 * @param heapKilobytes the heap per router in kilobytes
 * @param revisionMillis the time until each router has applied a new revision, in milliseconds
 * @param revisionHops the maximum number of hops of a revision
 * @param leavingMillis the time until each router observes that an engine is leaving, in
 *     milliseconds
 * @param loadAgeMillis the age of the load reports in the routers' views, in milliseconds
 * @param heldBackPerSecond entries per router and second that wait for byte budget, counted at each
 *     message
 */
record SlopeRow(
    String name,
    FleetShape shape,
    long seed,
    double meanBytesPerSecond,
    double maxBytesPerSecond,
    double betweenDataCentresShare,
    double betweenRegionsShare,
    double cpuPercent,
    double microsPerMessage,
    double heapKilobytes,
    Histogram revisionMillis,
    int revisionHops,
    Histogram leavingMillis,
    Histogram loadAgeMillis,
    double heldBackPerSecond) {

  /** Heading of the Markdown table. */
  static final String HEADING =
      """
      | gossip | routers/engines | seed | B/s mean | B/s max | between DCs | between regions \
      | core % | us/message | KB heap | revision ms p50/max | hops | leaving ms p50/max \
      | load age ms p50/p99 | held back/s |
      |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|""";

  /** Returns the results as a row of the Markdown table. */
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
        betweenDataCentresShare * 100,
        betweenRegionsShare * 100,
        cpuPercent,
        microsPerMessage,
        heapKilobytes,
        medianAndMax(revisionMillis),
        revisionHops,
        medianAndMax(leavingMillis),
        loadAgeMillis.getValueAtPercentile(50),
        loadAgeMillis.getValueAtPercentile(99),
        heldBackPerSecond);
  }

  private static String medianAndMax(Histogram histogram) {
    return histogram.getValueAtPercentile(50) + "/" + histogram.getMaxValue();
  }
}
