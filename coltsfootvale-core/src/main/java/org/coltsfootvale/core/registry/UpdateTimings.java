package org.coltsfootvale.core.registry;

import java.time.Duration;

/** How often routers tell each other their news, and when one that tells nothing counts as gone. */
public final class UpdateTimings {

  /** The pause between news for each router that gets them: bounds what a relay spends. */
  private static final Duration PAUSE_A_ROUTER = Duration.ofMillis(5);

  /** The shortest pause: loads change within some ten milliseconds. */
  private static final Duration PAUSE_MIN = Duration.ofMillis(50);

  /** The news that may be missed in a row; a single one may be lost or late. */
  private static final int MISSED_MAX = 4;

  /**
   * The shortest silence that means anything: collections of garbage and starts take part of it.
   */
  private static final Duration LIFE_MIN = Duration.ofMillis(1_500);

  private UpdateTimings() {}

  /**
   * Returns the pause between two news.
   *
   * @param routers the routers that hear directly of each other: all of a small fleet, those of a
   *     data centre in a larger one
   */
  public static Duration interval(int routers) {
    return longer(PAUSE_MIN, PAUSE_A_ROUTER.multipliedBy(routers));
  }

  /** Returns how long a router's latest news count; see {@link #interval} for the number. */
  public static Duration timeToLive(int routers) {
    return longer(LIFE_MIN, interval(routers).multipliedBy(MISSED_MAX));
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
