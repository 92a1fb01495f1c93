package org.coltsfootvale.testkit.platform;

/**
 * What a platform stand-in allows.
 *
 * @param port the port, 0 for any free one
 * @param writesPerSecond the rate of writes, leases included
 * @param readsPerSecond the rate of reads, opened watches included
 * @param weightWritesPerSecond the rate of writes to the weight store
 * @param hostsLagMillis by how long the host list lags
 */
public record PlatformOptions(
    int port,
    double writesPerSecond,
    double readsPerSecond,
    double weightWritesPerSecond,
    long hostsLagMillis) {

  private static final double WRITES_PER_SECOND = 400;
  private static final double READS_PER_SECOND = 2_000;
  private static final double WEIGHT_WRITES_PER_SECOND = 2;
  private static final long HOSTS_LAG_MILLIS = 2_000;

  /** Returns the usual rates on a port. */
  public static PlatformOptions onPort(int port) {
    return new PlatformOptions(
        port, WRITES_PER_SECOND, READS_PER_SECOND, WEIGHT_WRITES_PER_SECOND, HOSTS_LAG_MILLIS);
  }

  /** Returns the same options with another lag of the host list. */
  public PlatformOptions withHostsLagMillis(long millis) {
    return new PlatformOptions(
        port, writesPerSecond, readsPerSecond, weightWritesPerSecond, millis);
  }

  /** Returns the same options with other rates of the key-value service. */
  public PlatformOptions withRates(double writes, double reads) {
    return new PlatformOptions(port, writes, reads, weightWritesPerSecond, hostsLagMillis);
  }
}
