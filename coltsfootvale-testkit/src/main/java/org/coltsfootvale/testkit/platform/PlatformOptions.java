package org.coltsfootvale.testkit.platform;

/**
 * The port, rate limits and lag of a platform stand-in.
 *
 * @param port the port, 0 for any free one
 * @param writesPerSecond the rate limit of writes, including lease calls
 * @param readsPerSecond the rate limit of reads, including the opening of watches
 * @param weightWritesPerSecond the rate limit of writes to the weight store
 * @param hostsLagMillis the lag of the host list in milliseconds
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

  /** Returns the default options with the given port. */
  public static PlatformOptions onPort(int port) {
    return new PlatformOptions(
        port, WRITES_PER_SECOND, READS_PER_SECOND, WEIGHT_WRITES_PER_SECOND, HOSTS_LAG_MILLIS);
  }

  /** Returns a copy with the given lag of the host list. */
  public PlatformOptions withHostsLagMillis(long millis) {
    return new PlatformOptions(
        port, writesPerSecond, readsPerSecond, weightWritesPerSecond, millis);
  }

  /** Returns a copy with the given rate limits of the key-value service. */
  public PlatformOptions withRates(double writes, double reads) {
    return new PlatformOptions(port, writes, reads, weightWritesPerSecond, hostsLagMillis);
  }
}
