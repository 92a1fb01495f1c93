package org.coltsfootvale.core.registry;

import java.time.Duration;

/**
 * The interval at which routers exchange updates, and the time after which a router without updates
 * counts as gone.
 */
public final class UpdateTimings {

  /** The interval per receiving router; bounds the cost of a relay. */
  private static final Duration INTERVAL_PER_ROUTER = Duration.ofMillis(5);

  /** The shortest interval; loads change within some ten milliseconds. */
  private static final Duration INTERVAL_MIN = Duration.ofMillis(50);

  /** The number of consecutive updates that may be missed; a single one may be lost or late. */
  private static final int MISSED_MAX = 4;

  /** The shortest time to live; garbage collections and starts can delay updates for part of it. */
  private static final Duration TIME_TO_LIVE_MIN = Duration.ofMillis(1_500);

  private UpdateTimings() {}

  /**
   * Returns the interval between two updates.
   *
   * @param routers the number of routers that exchange updates directly: all of a small fleet,
   *     those of a data centre in a larger one
   */
  public static Duration interval(int routers) {
    return max(INTERVAL_MIN, INTERVAL_PER_ROUTER.multipliedBy(routers));
  }

  /**
   * Returns how long a router's latest update is valid; see {@link #interval} for the parameter.
   */
  public static Duration timeToLive(int routers) {
    return max(TIME_TO_LIVE_MIN, interval(routers).multipliedBy(MISSED_MAX));
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
