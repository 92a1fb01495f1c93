package org.coltsfootvale.core.dispatch;

import java.time.Duration;

/**
 * The limits of waiting and placing.
 *
 * @param loadBound the load that a replica may have relative to the mean of its service
 * @param loadBoundExtra the requests that a replica may have above that
 * @param reportAgeMax the age from which on a replica's own count is ignored
 * @param failureShareMax the share of failures from which on a replica gets less work
 * @param silenceMax how long a replica may be silent with unanswered requests before new ones go
 *     elsewhere
 * @param startDelayMax the prefill time of unstarted prompts from which on a replica counts as busy
 *     for further prompts
 * @param promptTokensPerMilli the prompt tokens that a replica reads in a millisecond
 * @param waitGoalShare the share of its goal that a request waits for a replica at most
 */
public record DispatchOptions(
    double loadBound,
    double loadBoundExtra,
    Duration reportAgeMax,
    double failureShareMax,
    Duration silenceMax,
    Duration startDelayMax,
    double promptTokensPerMilli,
    double waitGoalShare) {

  /**
   * Returns the defaults. The load bound stays below the twice of the mean that operators allow;
   * the reading speed is the one of the engines that the sites describe; the remaining figures
   * follow from the goals of 0.1 to 1 s for a first event.
   */
  public static DispatchOptions defaults() {
    return new DispatchOptions(
        1.5,
        2.0,
        Duration.ofMillis(1_500),
        0.5,
        Duration.ofMillis(700),
        Duration.ofMillis(400),
        55.0,
        0.5);
  }
}
