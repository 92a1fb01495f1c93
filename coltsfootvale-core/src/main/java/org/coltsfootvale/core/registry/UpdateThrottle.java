package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Decides in each round whether a router publishes an update. Changes that affect where peers send
 * requests are published at once, changed request counts at a limited rate, and a heartbeat after
 * several rounds without either. Confined to one thread.
 */
public final class UpdateThrottle {

  /**
   * The shortest interval between updates for changed counts; an engine takes longer to process a
   * prompt.
   */
  static final Duration COUNTS_INTERVAL = Duration.ofMillis(100);

  /** The number of rounds after which an update is published without changes. */
  static final int HEARTBEAT_ROUNDS = 4;

  private final LongSupplier nanoTime;
  private long publishedNanos;
  private int roundsSinceUpdate;

  /**
   * Creates an instance for which an update is due at once.
   *
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public UpdateThrottle(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.roundsSinceUpdate = HEARTBEAT_ROUNDS;
  }

  /**
   * Returns whether to publish an update in this round; call once per round.
   *
   * @param urgent whether a change affects where peers send requests
   * @param countsChanged whether request counts have changed
   */
  public boolean shouldPublish(boolean urgent, boolean countsChanged) {
    long now = nanoTime.getAsLong();
    roundsSinceUpdate++;
    boolean countsDue = countsChanged && now - publishedNanos >= COUNTS_INTERVAL.toNanos();
    if (!urgent && !countsDue && roundsSinceUpdate < HEARTBEAT_ROUNDS) {
      return false;
    }
    roundsSinceUpdate = 0;
    publishedNanos = now;
    return true;
  }
}
