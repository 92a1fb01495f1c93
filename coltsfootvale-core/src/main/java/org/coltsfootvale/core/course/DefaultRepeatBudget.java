package org.coltsfootvale.core.course;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.SlidingWindowCounter;

/**
 * A router's part of the budget of repeats that all routers share. In each sliding window a router
 * spends at most the given ratio of the requests that it has received itself, and its share of the
 * fixed allowance. Confined to one thread.
 */
public final class DefaultRepeatBudget implements RepeatBudget {

  /** The part of the budget that is spent; the rest covers repeats that routers count late. */
  private static final double SPENT_SHARE = 0.8;

  private final double ratio;
  private final double allowance;
  private final long windowNanos;
  private final DoubleSupplier shareOfFleet;
  private final LongSupplier nanoTime;
  private final Map<String, Counts> countsByService = new HashMap<>();

  /**
   * Creates the budget.
   *
   * @param ratio the repeats that each request allows
   * @param allowance the repeats that the fleet may spend in a window besides
   * @param window the length of the sliding window
   * @param shareOfFleet this router's share of the allowance, 0 to 1
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public DefaultRepeatBudget(
      double ratio,
      double allowance,
      Duration window,
      DoubleSupplier shareOfFleet,
      LongSupplier nanoTime) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowNanos = window.toNanos();
    this.shareOfFleet = shareOfFleet;
    this.nanoTime = nanoTime;
  }

  @Override
  public void requestArrived(String service) {
    counts(service).requests.add(nanoTime.getAsLong());
  }

  @Override
  public boolean tryAcquire(String service) {
    long now = nanoTime.getAsLong();
    if (remaining(service) < 1) {
      return false;
    }
    counts(service).repeats.add(now);
    return true;
  }

  @Override
  public double remaining(String service) {
    long now = nanoTime.getAsLong();
    Counts counts = counts(service);
    double limit =
        SPENT_SHARE * (ratio * counts.requests.sum(now) + allowance * shareOfFleet.getAsDouble());
    return limit - counts.repeats.sum(now);
  }

  private Counts counts(String service) {
    return countsByService.computeIfAbsent(service, name -> new Counts(windowNanos));
  }

  /** The requests and the repeats of one service. */
  private static final class Counts {

    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter repeats;

    Counts(long windowNanos) {
      requests = new SlidingWindowCounter(windowNanos);
      repeats = new SlidingWindowCounter(windowNanos);
    }
  }
}
