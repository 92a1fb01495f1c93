package org.coltsfootvale.core.course;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.SlidingWindowCounter;

/**
 * One router's share of the fleet's retry budget. In each sliding window a router spends at most a
 * ratio of the requests that it has received itself, plus its share of a fixed allowance. Confined
 * to one thread.
 */
public final class DefaultRepeatBudget implements RepeatBudget {

  /** The fraction of the budget that is spent; the rest covers retries that routers count late. */
  private static final double SPENT_FRACTION = 0.8;

  private final double ratio;
  private final double allowance;
  private final long windowNanos;
  private final DoubleSupplier shareOfFleet;
  private final LongSupplier nanoTime;
  private final Map<String, Counts> countsByService = new HashMap<>();

  /**
   * Creates the budget.
   *
   * @param ratio the retries allowed per request
   * @param allowance the additional retries of the whole fleet per window
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
    counts(service).retries.add(now);
    return true;
  }

  @Override
  public double remaining(String service) {
    long now = nanoTime.getAsLong();
    Counts counts = counts(service);
    double limit =
        SPENT_FRACTION
            * (ratio * counts.requests.sum(now) + allowance * shareOfFleet.getAsDouble());
    return limit - counts.retries.sum(now);
  }

  private Counts counts(String service) {
    return countsByService.computeIfAbsent(service, name -> new Counts(windowNanos));
  }

  /** The request and retry counts of one service. */
  private static final class Counts {

    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    Counts(long windowNanos) {
      requests = new SlidingWindowCounter(windowNanos);
      retries = new SlidingWindowCounter(windowNanos);
    }
  }
}
