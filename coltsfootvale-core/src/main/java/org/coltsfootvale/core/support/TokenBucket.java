package org.coltsfootvale.core.support;

/**
 * A token bucket that may go into debt: an amount larger than the bucket is admitted once the
 * bucket is not empty and is paid off by later refills. Not thread-safe.
 */
public final class TokenBucket {

  private double level;
  private double max;
  private double ratePerSecond;
  private long updatedAtMillis;

  /** Creates a full bucket. */
  public TokenBucket(double ratePerSecond, double max, long nowMillis) {
    this.ratePerSecond = ratePerSecond;
    this.max = max;
    this.level = max;
    this.updatedAtMillis = nowMillis;
  }

  /** Refills the bucket up to the given time and sets its new rate and capacity. */
  public void refill(double newRatePerSecond, double newMax, long nowMillis) {
    double seconds = Math.max(0, nowMillis - updatedAtMillis) / 1000.0;
    level = Math.min(max, level + seconds * ratePerSecond);
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    ratePerSecond = newRatePerSecond;
    max = newMax;
    level = Math.min(level, max);
  }

  /** Returns the seconds until the level reaches the needed amount, 0 if it already has. */
  public double secondsUntil(double needed) {
    if (level >= needed) {
      return 0;
    }
    return ratePerSecond > 0 ? (needed - level) / ratePerSecond : Double.POSITIVE_INFINITY;
  }

  /** Takes an amount, going into debt if necessary; a negative amount is returned to the bucket. */
  public void take(double amount) {
    level = Math.min(max, level - amount);
  }
}
