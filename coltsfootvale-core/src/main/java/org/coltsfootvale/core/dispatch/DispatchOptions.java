package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * The limits of waiting and placing.
 *
 * @param loadBound the load relative to the mean of its service up to which a replica gets requests
 *     whose prompt is cheap to read again
 * @param loadBoundMax the load relative to the mean up to which a replica gets any request
 * @param loadBoundExtra the requests that a replica may have above either
 * @param costlyPrefixTokens the tokens of shared parts from which on reading them again is dear
 * @param fetchTokensMin the tokens from which on a part is fetched from a replica that holds it
 * @param reportAgeMax the age from which on a replica's own count is ignored
 * @param failureRateMax the share of failures from which on a replica gets less work
 * @param silenceMax how long a replica may be silent with unanswered requests before new ones go
 *     elsewhere
 * @param prefillBacklogMax the prefill time of unstarted prompts from which on a replica counts as
 *     busy for further prompts
 * @param prefillTokensPerMilli the prompt tokens that a replica reads in a millisecond
 * @param queueTimeRatio the share of its goal that a request waits for a replica at most
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
   * Returns the defaults. The load bound stays below the twice of the mean that operators allow;
   * the reading speed is the one of the engines that the sites describe; the remaining figures
   * follow from the goals of 0.1 to 1 s for a first event. Setting up a fetch takes about 3 ms, in
   * which an engine reads some 180 tokens.
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
