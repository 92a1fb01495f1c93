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

  /** The longest pause that a replica is granted, whatever it asks for. */
  static final Duration PAUSE_MAX = Duration.ofMinutes(5);

  /**
   * How much longer than known another router's word of a pause must be to count: what comes back
   * over several routers is late by some tens of milliseconds.
   */
  private static final Duration HEARD_TOLERANCE = Duration.ofMillis(250);

  private final LongSupplier nanoTime;
  private int unreachedInRow;
  private long pausedUntilNanos;
  private long pausedElsewhereUntilNanos;
  private boolean onProbation;
  private boolean everPausedElsewhere;
  private long suspendedUntilNanos;
  private double failureRate;
  private long judgedNanos;
  private long lastReceivedNanos;

  ReplicaHealth(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.suspendedUntilNanos = nanoTime.getAsLong();
    this.pausedUntilNanos = suspendedUntilNanos;
    this.pausedElsewhereUntilNanos = suspendedUntilNanos;
    this.lastReceivedNanos = suspendedUntilNanos;
    this.judgedNanos = suspendedUntilNanos;
  }

  /**
   * Takes note that a connection failed before a request was sent, or was lost without answer;
   * returns how long new requests keep away.
   */
  public Duration onConnectionFailure() {
    Duration pause = KEPT_AWAY.after(unreachedInRow);
    unreachedInRow++;
    suspendedUntilNanos = nanoTime.getAsLong() + pause.toNanos();
    return pause;
  }

  /** Takes note that the replica has sent something. */
  public void onDataReceived() {
    lastReceivedNanos = nanoTime.getAsLong();
    unreachedInRow = 0;
  }

  /**
   * Takes note that the replica wants no further requests of this router for a while; returns how
   * long it gets none. After that it is on trial until it has given a sound answer.
   */
  Duration pause(Duration wanted) {
    Duration granted = wanted.compareTo(PAUSE_MAX) > 0 ? PAUSE_MAX : wanted;
    if (granted.isZero()) {
      return granted;
    }
    long until = nanoTime.getAsLong() + granted.toNanos();
    if (until - pausedUntilNanos > 0) {
      pausedUntilNanos = until;
    }
    onProbation = true;
    return granted;
  }

  /** Returns what is left of the pause that the replica has asked this router for. */
  Duration pauseRemaining() {
    if (!onProbation) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(Math.max(0, pausedUntilNanos - nanoTime.getAsLong()));
  }

  /** Returns whether the replica wants no further requests of this router at present. */
  boolean paused() {
    return onProbation && nanoTime.getAsLong() - pausedUntilNanos < 0;
  }

  /**
   * Returns whether the replica has not given a sound answer since it asked for a pause. While it
   * has asked for none, nothing here reads the clock: all replicas are judged for each request.
   */
  boolean onProbation() {
    return onProbation;
  }

  /** Takes another router's word that the replica has asked for a pause. */
  void onPeerPause(Duration left) {
    long until = nanoTime.getAsLong() + left.toNanos();
    if (until - pausedElsewhereUntilNanos > HEARD_TOLERANCE.toNanos()) {
      pausedElsewhereUntilNanos = until;
      everPausedElsewhere = true;
    }
  }

  /** Returns what is left of the pause that the replica has asked another router for. */
  Duration peerPauseRemaining() {
    if (!everPausedElsewhere) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(Math.max(0, pausedElsewhereUntilNanos - nanoTime.getAsLong()));
  }

  /** Takes note of a sound answer. */
  public void onSuccess() {
    onProbation &= paused();
    failureRate = failureRate() * (1 - LATEST_WEIGHT);
    judgedNanos = nanoTime.getAsLong();
  }

  /** Takes note of an answer that reports or shows a failure of the replica. */
  public void onFailure() {
    double before = failureRate();
    failureRate = before + LATEST_WEIGHT * (1 - before);
    judgedNanos = nanoTime.getAsLong();
  }

  /** Returns the share of recent requests that failed, the latest counting most. */
  public double failureRate() {
    double halvings = (nanoTime.getAsLong() - judgedNanos) / FORGET_HALF_NANOS;
    return failureRate * Math.pow(0.5, halvings);
  }

  /** Returns whether new requests keep away after failed connections. */
  public boolean suspended() {
    return nanoTime.getAsLong() < suspendedUntilNanos;
  }

  /** Returns when the replica last sent something, on the monotonic clock. */
  public long lastReceivedNanos() {
    return lastReceivedNanos;
  }
}
