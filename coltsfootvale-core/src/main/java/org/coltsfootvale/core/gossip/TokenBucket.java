package org.coltsfootvale.core.gossip;

import java.time.Instant;

/** A token bucket in bytes. May be overdrawn down to minus its capacity. Not thread-safe. */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final double bytesPerSecond;
  private final double capacityBytes;
  private double availableBytes;
  private Instant updatedAt;

  /** Creates a full bucket. */
  TokenBucket(int bytesPerSecond, int capacityBytes, Instant now) {
    this.bytesPerSecond = bytesPerSecond;
    this.capacityBytes = capacityBytes;
    this.availableBytes = capacityBytes;
    this.updatedAt = now;
  }

  /** Returns the bytes that may be used now; negative while the bucket is overdrawn. */
  double available(Instant now) {
    refill(now);
    return availableBytes;
  }

  /** Charges bytes that have been used. */
  void charge(int bytes, Instant now) {
    refill(now);
    availableBytes = Math.max(-capacityBytes, availableBytes - bytes);
  }

  private void refill(Instant now) {
    long elapsedMillis = now.toEpochMilli() - updatedAt.toEpochMilli();
    if (elapsedMillis <= 0) {
      return;
    }
    double refilled = availableBytes + bytesPerSecond * elapsedMillis / MILLIS_PER_SECOND;
    availableBytes = Math.min(capacityBytes, refilled);
    updatedAt = now;
  }
}
