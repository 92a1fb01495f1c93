package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * Limits for queueing and placing requests.
 *
 * @param loadBound the load relative to the service's mean up to which a replica accepts requests
 *     whose prompt is cheap to prefill again
 * @param loadBoundMax the load relative to the service's mean up to which a replica accepts any
 *     request
 * @param loadBoundExtra the number of requests added to both bounds
 * @param costlyPrefixTokens the tokens of shared parts at which a repeated prefill counts as costly
 * @param fetchTokensMin the smallest prefix in tokens that is fetched from another replica
 * @param reportAgeMax the age beyond which a replica's load report is ignored
 * @param failureRateMax the failure rate above which a replica gets less work
 * @param silenceMax how long a replica may send no data while requests are outstanding before new
 *     ones go elsewhere
 * @param prefillBacklogMax the prefill time of pending prompts at which a replica counts as busy
 *     for further prompts
 * @param prefillTokensPerMilli the prompt tokens that a replica prefills in a millisecond
 * @param queueTimeRatio the largest fraction of a request's latency goal that it may spend in the
 *     queue
 */
public record DispatchOptions(
    double loadBound,
    double loadBoundMax,
    double loadBoundExtra,
    int costlyPrefixTokens,
    int fetchTokensMin,
    Duration reportAgeMax,
    double failureRateMax,
    Duration silenceMax,
    Duration prefillBacklogMax,
    double prefillTokensPerMilli,
    double queueTimeRatio) {

  /**
   * Returns the defaults. The load bound stays below the limit of twice the mean that operators
   * allow; the prefill rate is that of the engines that the sites describe; the remaining values
   * follow from latency goals of 0.1 to 1 s for the first event. Setting up a fetch takes about 3
   * ms, in which an engine prefills some 180 tokens.
   */
  public static DispatchOptions defaults() {
    return new DispatchOptions(
        1.4,
        1.9,
        2.0,
        1_500,
        200,
        Duration.ofMillis(1_500),
        0.5,
        Duration.ofMillis(700),
        Duration.ofMillis(400),
        55.0,
        0.5);
  }
}
