package org.coltsfootvale.core.quarantine;

import java.time.Duration;

/**
 * Determines when a request with a part in quarantine may be sent to a replica after all. Each
 * trial that crashes a replica multiplies the time to the next one.
 */
final class TrialSchedule {

  private static final Duration FIRST_DELAY = Duration.ofSeconds(15);
  private static final int DELAY_FACTOR = 4;

  /** The longest delay, at which it is no longer multiplied. */
  static final Duration DELAY_MAX = Duration.ofHours(1);

  /**
   * The crashes of one part that the users tolerate, after which only three more sends may come.
   */
  static final int CRASHES_TOLERATED = 5;

  /**
   * The crashes up to which trials are made: one more than tolerated, as two routers may make the
   * same trial while the membership changes.
   */
  private static final int CRASHES_MAX = CRASHES_TOLERATED + 1;

  private static final Duration RETRY_DELAY_MIN = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY_MAX = Duration.ofMinutes(2);

  private TrialSchedule() {}

  /**
   * Returns the delay after which a refused caller should retry: the time to the next trial within
   * bounds, spread over as long again so that callers do not return together.
   *
   * @param random a uniform random number in [0, 1)
   */
  static Duration retryDelay(Duration untilTrial, double random) {
    Duration delay = untilTrial.compareTo(RETRY_DELAY_MIN) > 0 ? untilTrial : RETRY_DELAY_MIN;
    Duration bounded = delay.compareTo(RETRY_DELAY_MAX) < 0 ? delay : RETRY_DELAY_MAX;
    return bounded.plusNanos((long) (bounded.toNanos() * random));
  }

  /** Returns the time from the latest crash to the next trial. */
  static Duration delay(QuarantinedPart quarantinedPart) {
    Duration delay = FIRST_DELAY;
    for (int i = CrashAttribution.INCIDENTS_NEVER_ANSWERED; i < quarantinedPart.incidents(); i++) {
      delay = delay.multipliedBy(DELAY_FACTOR);
      if (delay.compareTo(DELAY_MAX) > 0) {
        return DELAY_MAX;
      }
    }
    return delay;
  }

  /** Returns whether trials of a part are made without an operator. */
  static boolean trialsLeft(QuarantinedPart quarantinedPart) {
    return quarantinedPart.crashes().size() <= CRASHES_MAX;
  }
}
