package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.Backoff;

/** The health of one replica as observed by this router's own requests. Confined to one thread. */
public final class ReplicaHealth {

  /** The longest suspension after failed connections. */
  static final Duration SUSPENSION_MAX = Duration.ofMillis(3_200);

  private static final Backoff SUSPENSION = new Backoff(Duration.ofMillis(200), SUSPENSION_MAX);

  /** The weight of the latest result in the moving average of failures. */
  private static final double LATEST_WEIGHT = 0.15;

  /**
   * The half-life of the failure rate without new results, after which failing replicas are tried
   * again.
   */
  private static final double FAILURE_HALF_LIFE_NANOS = 2e9;

  /** The longest pause granted to a replica, whatever it requests. */
  static final Duration PAUSE_MAX = Duration.ofMinutes(5);

  /**
   * How much later than the recorded end a pause reported by a peer must end to replace it. Pauses
   * relayed over several routers arrive some tens of milliseconds late and would otherwise prolong
   * themselves.
   */
  private static final Duration PEER_PAUSE_TOLERANCE = Duration.ofMillis(250);

  private final LongSupplier nanoTime;
  private int connectionFailuresInRow;
  private long pauseEndNanos;
  private long peerPauseEndNanos;
  private boolean onProbation;
  private boolean peerPauseReported;
  private long suspendedUntilNanos;
  private double failureRate;
  private long failureRateNanos;
  private long lastReceivedNanos;

  ReplicaHealth(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.suspendedUntilNanos = nanoTime.getAsLong();
    this.pauseEndNanos = suspendedUntilNanos;
    this.peerPauseEndNanos = suspendedUntilNanos;
    this.lastReceivedNanos = suspendedUntilNanos;
    this.failureRateNanos = suspendedUntilNanos;
  }

  /**
   * Records that a connection failed before a request was sent, or was lost without an answer.
   * Returns how long the replica is suspended.
   */
  public Duration onConnectionFailure() {
    Duration pause = SUSPENSION.after(connectionFailuresInRow);
    connectionFailuresInRow++;
    suspendedUntilNanos = nanoTime.getAsLong() + pause.toNanos();
    return pause;
  }

  /** Records that data has arrived from the replica. */
  public void onDataReceived() {
    lastReceivedNanos = nanoTime.getAsLong();
    connectionFailuresInRow = 0;
  }

  /**
   * Records that the replica has requested a pause from this router, and returns the pause granted.
   * The replica then stays on probation until it answers successfully.
   */
  Duration pause(Duration requested) {
    Duration granted = requested.compareTo(PAUSE_MAX) > 0 ? PAUSE_MAX : requested;
    if (granted.isZero()) {
      return granted;
    }
    long until = nanoTime.getAsLong() + granted.toNanos();
    if (until - pauseEndNanos > 0) {
      pauseEndNanos = until;
    }
    onProbation = true;
    return granted;
  }

  /** Returns the remaining time of the pause that the replica has requested from this router. */
  Duration pauseRemaining() {
    return onProbation
        ? Duration.ofNanos(pauseRemainingNanos(nanoTime.getAsLong()))
        : Duration.ZERO;
  }

  /** Returns the remaining time of the pause that the replica has requested from this router. */
  long pauseRemainingNanos(long nowNanos) {
    return onProbation ? Math.max(0, pauseEndNanos - nowNanos) : 0;
  }

  /** Returns whether the replica is in a pause requested from this router. */
  boolean paused() {
    return onProbation && paused(nanoTime.getAsLong());
  }

  /** Returns whether the replica is in a pause requested from this router. */
  boolean paused(long nowNanos) {
    return onProbation && nowNanos - pauseEndNanos < 0;
  }

  /** Returns whether the replica has not answered successfully since it requested a pause. */
  boolean onProbation() {
    return onProbation;
  }

  /** Records a pause that the replica has requested from another router. */
  void onPeerPause(Duration remaining) {
    long until = nanoTime.getAsLong() + remaining.toNanos();
    if (until - peerPauseEndNanos > PEER_PAUSE_TOLERANCE.toNanos()) {
      peerPauseEndNanos = until;
      peerPauseReported = true;
    }
  }

  /** Returns the remaining time of the pause that the replica has requested from another router. */
  Duration peerPauseRemaining() {
    if (!peerPauseReported) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(Math.max(0, peerPauseEndNanos - nanoTime.getAsLong()));
  }

  /** Returns whether the replica is in a pause requested from another router. */
  boolean pausedAtPeer(long nowNanos) {
    return peerPauseReported && peerPauseEndNanos - nowNanos > 0;
  }

  /** Records a successful answer. */
  public void onSuccess() {
    onProbation &= paused();
    failureRate = failureRate() * (1 - LATEST_WEIGHT);
    failureRateNanos = nanoTime.getAsLong();
  }

  /** Records an answer that reports or shows a failure of the replica. */
  public void onFailure() {
    double before = failureRate();
    failureRate = before + LATEST_WEIGHT * (1 - before);
    failureRateNanos = nanoTime.getAsLong();
  }

  /** Returns the exponentially weighted failure rate of recent requests, 0 to 1. */
  public double failureRate() {
    return failureRate(nanoTime.getAsLong());
  }

  /** Returns the exponentially weighted failure rate of recent requests, 0 to 1. */
  double failureRate(long nowNanos) {
    if (failureRate == 0) {
      return 0;
    }
    double halvings = (nowNanos - failureRateNanos) / FAILURE_HALF_LIFE_NANOS;
    return failureRate * Math.pow(0.5, halvings);
  }

  /**
   * Returns whether the failure rate is above a limit. The rate only decays between results, so the
   * decay is computed only if the rate at the latest result is above the limit.
   */
  boolean failureRateExceeds(double limit, long nowNanos) {
    return failureRate > limit && failureRate(nowNanos) > limit;
  }

  /** Returns whether the replica is suspended after failed connections. */
  public boolean suspended() {
    return suspended(nanoTime.getAsLong());
  }

  /** Returns whether the replica is suspended after failed connections. */
  boolean suspended(long nowNanos) {
    return nowNanos < suspendedUntilNanos;
  }

  /** Returns when the replica last sent data, on the monotonic clock. */
  public long lastReceivedNanos() {
    return lastReceivedNanos;
  }
}
