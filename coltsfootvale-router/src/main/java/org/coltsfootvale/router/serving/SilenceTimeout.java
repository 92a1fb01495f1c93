package org.coltsfootvale.router.serving;

import java.time.Duration;
import org.coltsfootvale.core.routing.Route;

/**
 * Determines how long a replica may stay silent before a request that may be sent elsewhere is sent
 * to another one.
 */
final class SilenceTimeout {

  /** Callers abandon streams after 2 s without an event. */
  private static final Duration STREAM = Duration.ofMillis(1_400);

  private static final Duration COMPLETE_MIN = Duration.ofMillis(250);
  private static final double COMPLETE_GOALS = 2.5;

  private SilenceTimeout() {}

  /** Returns the time-out for the requests of a route. */
  static Duration of(Route route) {
    if (route.streaming()) {
      return STREAM;
    }
    Duration byGoal = Duration.ofNanos((long) (route.goal().toNanos() * COMPLETE_GOALS));
    return byGoal.compareTo(COMPLETE_MIN) > 0 ? byGoal : COMPLETE_MIN;
  }
}
