package org.coltsfootvale.core.decision;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Limits the rate of one event whose causes other systems control, and states with the next line
 * how many were left out. Other events pass. Thread-safe if the underlying log is.
 */
public final class RateLimitedDecisionLog implements DecisionLog {

  private final DecisionLog log;
  private final DecisionEvent limited;
  private final long intervalNanos;
  private final LongSupplier nanoTime;
  private @Nullable Long lastRecordedNanos;
  private long suppressed;

  /**
   * Creates a log.
   *
   * @param log receives the lines
   * @param limited the event that is limited
   * @param interval the least time between two lines of it
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RateLimitedDecisionLog(
      DecisionLog log, DecisionEvent limited, Duration interval, LongSupplier nanoTime) {
    this.log = log;
    this.limited = limited;
    this.intervalNanos = interval.toNanos();
    this.nanoTime = nanoTime;
  }

  @Override
  public void record(Decision decision) {
    if (decision.event() != limited || admit(decision)) {
      log.record(decision);
    }
  }

  private synchronized boolean admit(Decision decision) {
    long now = nanoTime.getAsLong();
    if (lastRecordedNanos != null && now - lastRecordedNanos < intervalNanos) {
      suppressed++;
      return false;
    }
    lastRecordedNanos = now;
    decision.with("suppressed", suppressed);
    suppressed = 0;
    return true;
  }
}
