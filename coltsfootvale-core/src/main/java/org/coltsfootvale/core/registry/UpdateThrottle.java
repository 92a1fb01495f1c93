package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Decides in each round whether a router tells its news. What changes where others send requests is
 * told at once; counts of requests, which change with each of them, only so often; and without
 * either a router says now and then that it is alive. Confined to one thread.
 */
public final class UpdateThrottle {

  /** How often changed counts are told at most: an engine takes longer for a prompt. */
  static final Duration COUNTS_PAUSE = Duration.ofMillis(100);

  /** A router without news speaks in each of so many rounds. */
  static final int SILENT_ROUNDS_MAX = 4;

  private final LongSupplier nanoTime;
  private long toldNanos;
  private int silentRounds;

  /**
   * Creates a decision that is due at once.
   *
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public UpdateThrottle(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.silentRounds = SILENT_ROUNDS_MAX;
  }

  /**
   * Returns whether to tell the news in this round; to be called once in each.
   *
   * @param urgent whether something has changed that others must know at once
   * @param countsChanged whether counts of requests have changed
   */
  public boolean shouldPublish(boolean urgent, boolean countsChanged) {
    long now = nanoTime.getAsLong();
    silentRounds++;
    boolean countsDue = countsChanged && now - toldNanos >= COUNTS_PAUSE.toNanos();
    if (!urgent && !countsDue && silentRounds < SILENT_ROUNDS_MAX) {
      return false;
    }
    silentRounds = 0;
    toldNanos = now;
    return true;
  }
}
