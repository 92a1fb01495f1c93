package org.coltsfootvale.core.support;

/**
 * A token bucket that may go into debt: what is larger than the bucket passes once it is not empty
 * and is paid for afterwards. Not thread-safe.
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

  /** Fills the bucket up to the present and sets the rate from now on. */
  public void refill(double newRatePerSecond, double newMax, long nowMillis) {
    double seconds = Math.max(0, nowMillis - updatedAtMillis) / 1000.0;
    level = Math.min(max, level + seconds * ratePerSecond);
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    ratePerSecond = newRatePerSecond;
    max = newMax;
    level = Math.min(level, max);
  }

  /** Returns the seconds until the level reaches what is needed, 0 if it does now. */
  public double secondsUntil(double needed) {
    if (level >= needed) {
      return 0;
    }
    return ratePerSecond > 0 ? (needed - level) / ratePerSecond : Double.POSITIVE_INFINITY;
  }

  /** Takes an amount, into debt if need be; a negative amount gives back. */
  public void take(double amount) {
    level = Math.min(max, level - amount);
  }
}
