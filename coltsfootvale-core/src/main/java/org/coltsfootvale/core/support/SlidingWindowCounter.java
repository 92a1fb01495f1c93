package org.coltsfootvale.core.support;

/**
 * Counts events in a sliding window with a resolution of a twentieth of its length. Not
 * thread-safe.
 */
public final class SlidingWindowCounter {

  private static final int BUCKETS = 20;

  private final long bucketNanos;
  private final long[] counts = new long[BUCKETS];
  private long newestBucket;

  /**
   * Creates an empty counter.
   *
   * @param windowNanos the length of the window in nanoseconds
   */
  public SlidingWindowCounter(long windowNanos) {
    this.bucketNanos = Math.max(1, windowNanos / BUCKETS);
    this.newestBucket = Long.MIN_VALUE / 2;
  }

  /** Counts one event at the given time. */
  public void add(long nowNanos) {
    advance(nowNanos);
    counts[(int) Math.floorMod(newestBucket, (long) BUCKETS)]++;
  }

  /** Returns the number of events in the window that ends at the given time. */
  public long sum(long nowNanos) {
    advance(nowNanos);
    long sum = 0;
    for (long count : counts) {
      sum += count;
    }
    return sum;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long steps = Math.min(BUCKETS, bucket - newestBucket);
    for (long step = 0; step < steps; step++) {
      counts[(int) Math.floorMod(bucket - step, (long) BUCKETS)] = 0;
    }
    newestBucket = Math.max(newestBucket, bucket);
  }
}
