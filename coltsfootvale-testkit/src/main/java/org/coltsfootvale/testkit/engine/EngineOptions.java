package org.coltsfootvale.testkit.engine;

/**
 * What an engine stand-in can do.
 *
 * @param id its name
 * @param port the port, 0 for any free one
 * @param incarnation its incarnation, reported with its load
 * @param capacityRequests how many requests it runs and holds in its queue together
 * @param batchRequests how many requests it runs at a time
 * @param prefillTokensPerSecond its prefill rate, shared by the running requests
 * @param decodeTokensPerSecond its decode rate for each running request
 * @param cacheTokens how many tokens its prefix cache holds
 * @param importTokensPerSecond how fast it imports cache from another engine
 * @param loadLagMillis by how long its load report lags
 * @param eventLagMillis by how long its cache events are late
 * @param eventGapEvery every how many cache events one is lost, 0 for none
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param timeScale how much faster than the clock it works, more than 0
 */
public record EngineOptions(
    String id,
    int port,
    long incarnation,
    int capacityRequests,
    int batchRequests,
    double prefillTokensPerSecond,
    double decodeTokensPerSecond,
    long cacheTokens,
    double importTokensPerSecond,
    long loadLagMillis,
    long eventLagMillis,
    int eventGapEvery,
    boolean checksFencing,
    double timeScale) {

  /** Returns the usual engine. */
  public static EngineOptions of(String id, int port) {
    return new EngineOptions(
        id, port, 1, 64, 16, 8_000, 60, 200_000, 100_000, 500, 1_000, 50, true, 1);
  }

  /** Returns the same options with another number of requests at a time. */
  public EngineOptions withCapacity(int capacity, int batch) {
    return new EngineOptions(
        id,
        port,
        incarnation,
        capacity,
        batch,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        cacheTokens,
        importTokensPerSecond,
        loadLagMillis,
        eventLagMillis,
        eventGapEvery,
        checksFencing,
        timeScale);
  }

  /** Returns the same options with another size of the prefix cache. */
  public EngineOptions withCacheTokens(long tokens) {
    return new EngineOptions(
        id,
        port,
        incarnation,
        capacityRequests,
        batchRequests,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        tokens,
        importTokensPerSecond,
        loadLagMillis,
        eventLagMillis,
        eventGapEvery,
        checksFencing,
        timeScale);
  }

  /** Returns the same options with another lag of load reports and cache events. */
  public EngineOptions withLag(long loadMillis, long eventMillis, int gapEvery) {
    return new EngineOptions(
        id,
        port,
        incarnation,
        capacityRequests,
        batchRequests,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        cacheTokens,
        importTokensPerSecond,
        loadMillis,
        eventMillis,
        gapEvery,
        checksFencing,
        timeScale);
  }

  /** Returns the same options with fencing checked or not, and another time scale. */
  public EngineOptions with(boolean fencing, double scale) {
    return new EngineOptions(
        id,
        port,
        incarnation,
        capacityRequests,
        batchRequests,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        cacheTokens,
        importTokensPerSecond,
        loadLagMillis,
        eventLagMillis,
        eventGapEvery,
        fencing,
        scale);
  }

  /** Returns the same options with another incarnation. */
  public EngineOptions withIncarnation(long value) {
    return new EngineOptions(
        id,
        port,
        value,
        capacityRequests,
        batchRequests,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        cacheTokens,
        importTokensPerSecond,
        loadLagMillis,
        eventLagMillis,
        eventGapEvery,
        checksFencing,
        timeScale);
  }
}
