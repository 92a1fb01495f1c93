package org.coltsfootvale.testkit.engine;

/**
 * The options of an engine stand-in.
 *
 * @param id its name
 * @param port the port, 0 for any free one
 * @param incarnation its incarnation, reported with its load
 * @param capacityRequests the maximum number of running and queued requests
 * @param batchRequests the maximum number of running requests
 * @param prefillTokensPerSecond the prefill rate, shared by the running requests
 * @param decodeTokensPerSecond the decode rate of each running request
 * @param cacheTokens the capacity of the prefix cache in tokens
 * @param importTokensPerSecond the rate of cache imports from another engine
 * @param loadLagMillis the lag of the load report in milliseconds
 * @param eventLagMillis the lag of the cache events in milliseconds
 * @param eventGapEvery the interval of lost cache events: every n-th is lost, 0 for none
 * @param checksFencing whether orders with a stale fencing number are refused
 * @param timeScale the speed of the engine relative to the clock, greater than 0
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

  /** Returns the default options with the given name and port. */
  public static EngineOptions of(String id, int port) {
    return new EngineOptions(
        id, port, 1, 64, 16, 8_000, 60, 200_000, 100_000, 500, 1_000, 50, true, 1);
  }

  /** Returns a copy with the given capacity and batch size in requests. */
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

  /** Returns a copy with the given capacity of the prefix cache. */
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

  /**
   * Returns a copy with the given lags of load reports and cache events, and interval of lost
   * events.
   */
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

  /** Returns a copy with the fencing check enabled or disabled, and the given time scale. */
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

  /** Returns a copy with the given incarnation. */
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
