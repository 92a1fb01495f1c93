package org.coltsfootvale.core.placement;

import java.util.Arrays;

/**
 * Records the net changes of one router's own load on an engine over the last 8 s in buckets of 125
 * ms, to compute the change since a given time. Not thread-safe.
 */
final class DispatchHistory {

  private static final int BUCKETS = 64;
  private static final long BUCKET_MILLIS = 125;

  private final long[] bucketNumbers = new long[BUCKETS];
  private final int[] requestChanges = new int[BUCKETS];
  private final long[] tokenChanges = new long[BUCKETS];

  DispatchHistory() {
    Arrays.fill(bucketNumbers, Long.MIN_VALUE);
  }

  /** Records a change at a time in milliseconds since the epoch. */
  void record(long nowMillis, int requests, long queuedTokens) {
    long number = Math.floorDiv(nowMillis, BUCKET_MILLIS);
    int slot = Math.floorMod(number, BUCKETS);
    if (bucketNumbers[slot] != number) {
      bucketNumbers[slot] = number;
      requestChanges[slot] = 0;
      tokenChanges[slot] = 0;
    }
    requestChanges[slot] += requests;
    tokenChanges[slot] += queuedTokens;
  }

  /** Returns the net change in outstanding requests after a time, within the recorded period. */
  int requestsSince(long sinceMillis) {
    long first = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
    int sum = 0;
    for (int slot = 0; slot < BUCKETS; slot++) {
      if (bucketNumbers[slot] > first) {
        sum += requestChanges[slot];
      }
    }
    return sum;
  }

  /** Returns the net change in queued prompt tokens after a time, within the recorded period. */
  long tokensSince(long sinceMillis) {
    long first = Math.floorDiv(sinceMillis, BUCKET_MILLIS);
    long sum = 0;
    for (int slot = 0; slot < BUCKETS; slot++) {
      if (bucketNumbers[slot] > first) {
        sum += tokenChanges[slot];
      }
    }
    return sum;
  }
}
