package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.Backoff;

/**
 * The health of one replica, judged by what this router's own requests meet. Confined to one
 * thread.
 */
public final class ReplicaHealth {

  private static final Backoff KEPT_AWAY =
      new Backoff(Duration.ofMillis(200), Duration.ofMillis(3_200));

  /** The weight of the latest result in the running mean of failures. */
  private static final double LATEST_WEIGHT = 0.15;

  /**
   * The time in which the running mean halves without results, so that replicas are tried again.
   */
  private static final double FORGET_HALF_NANOS = 2e9;

  private final LongSupplier nanoTime;
  private int unreachedInRow;
  private long suspendedUntilNanos;
  private double failureShare;
  private long judgedNanos;
  private long heardNanos;

  ReplicaHealth(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.suspendedUntilNanos = nanoTime.getAsLong();
    this.heardNanos = suspendedUntilNanos;
    this.judgedNanos = suspendedUntilNanos;
  }

  /**
   * Takes note that a connection failed before a request was sent, or was lost without answer;
   * returns how long new requests keep away.
   */
  public Duration unreached() {
    Duration pause = KEPT_AWAY.after(unreachedInRow);
    unreachedInRow++;
    suspendedUntilNanos = nanoTime.getAsLong() + pause.toNanos();
    return pause;
  }

  /** Takes note that the replica has sent something. */
  public void heard() {
    heardNanos = nanoTime.getAsLong();
    unreachedInRow = 0;
  }

  /** Takes note of a sound answer. */
  public void succeeded() {
    failureShare = failureShare() * (1 - LATEST_WEIGHT);
    judgedNanos = nanoTime.getAsLong();
  }

  /** Takes note of an answer that reports or shows a failure of the replica. */
  public void failed() {
    double before = failureShare();
    failureShare = before + LATEST_WEIGHT * (1 - before);
    judgedNanos = nanoTime.getAsLong();
  }

  /** Returns the share of recent requests that failed, the latest counting most. */
  public double failureShare() {
    double halvings = (nanoTime.getAsLong() - judgedNanos) / FORGET_HALF_NANOS;
    return failureShare * Math.pow(0.5, halvings);
  }

  /** Returns whether new requests keep away after failed connections. */
  public boolean suspended() {
    return nanoTime.getAsLong() < suspendedUntilNanos;
  }

  /** Returns when the replica last sent something, on the monotonic clock. */
  public long heardNanos() {
    return heardNanos;
  }
}
