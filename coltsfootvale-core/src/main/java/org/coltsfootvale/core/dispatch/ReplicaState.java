package org.coltsfootvale.core.dispatch;

import java.util.OptionalLong;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/** What this router knows of one replica's load and health. Confined to one thread. */
public final class ReplicaState {

  /** The requests of this router that a replica gets on trial, after a pause that it wanted. */
  private static final int TRIAL_REQUESTS_MAX = 2;

  private final ReplicaHealth health;
  private final long nameHash;
  private final long cacheHash;
  private Replica replica;
  private int inFlight;
  private long pendingPrefillTokens;
  private @Nullable LoadReport report;
  private long reportedNanos;
  private int inFlightAtReport;
  private long occupiedNanos;
  private long confirmedNanos;

  ReplicaState(Replica replica, ReplicaHealth health, long nowNanos) {
    this.confirmedNanos = nowNanos;
    this.replica = replica;
    this.health = health;
    this.nameHash = RendezvousHashing.hash(replica.id());
    this.cacheHash = cacheHash(replica);
  }

  /** Returns the record of the replica. */
  public Replica replica() {
    return replica;
  }

  /** Returns the health of the replica. */
  public ReplicaHealth health() {
    return health;
  }

  /** Returns whether the replica wants no further requests of this router at present. */
  public boolean paused() {
    return health.paused();
  }

  /** Returns whether the replica may get a further request of this router, whatever its load. */
  boolean available() {
    boolean trialFull = health.onProbation() && inFlight >= TRIAL_REQUESTS_MAX;
    return !health.suspended() && !health.paused() && !trialFull;
  }

  /** Returns the requests of this router that the replica works on. */
  public int inFlight() {
    return inFlight;
  }

  void update(Replica latest, long nowNanos) {
    replica = latest;
    confirmedNanos = nowNanos;
  }

  /** Returns when the record of the replica was last confirmed, on the monotonic clock. */
  public long confirmedNanos() {
    return confirmedNanos;
  }

  /** Returns the hash of the replica's id. */
  public long nameHash() {
    return nameHash;
  }

  /** Returns the hash of the replica's cache; a restarted replica has another cache. */
  long cacheHash() {
    return cacheHash;
  }

  static long cacheHash(Replica replica) {
    return RendezvousHashing.hash(replica.id() + '@' + replica.startedMillis());
  }

  void onRequestPlaced(DispatchRequest work, long nowNanos) {
    if (inFlight == 0) {
      occupiedNanos = nowNanos;
    }
    inFlight++;
    pendingPrefillTokens += work.description().promptTokens();
  }

  /** Takes note that the answer of a request has begun. */
  public void onAnswerStarted(DispatchRequest work) {
    pendingPrefillTokens -= work.description().promptTokens();
  }

  void onRequestEnded() {
    inFlight--;
  }

  void onLoadReport(LoadReport latest, long nowNanos) {
    report = latest;
    reportedNanos = nowNanos;
    inFlightAtReport = inFlight;
  }

  /** Returns for how long the replica has had requests and sent nothing, in nanoseconds. */
  long silentNanos(long nowNanos) {
    if (inFlight == 0) {
      return 0;
    }
    return nowNanos - Math.max(occupiedNanos, health.lastReceivedNanos());
  }

  /** Returns the age of the replica's latest own count; empty if it has sent none. */
  public OptionalLong reportAgeNanos(long nowNanos) {
    return report == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - reportedNanos);
  }

  /** Returns the tokens of prompts that this router has sent and that have brought no event yet. */
  long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /**
   * Estimates the requests of all routers at the replica.
   *
   * @param peersInFlight the requests of the other routers by their own news
   * @param reportAgeMaxNanos the age from which on the replica's own count is ignored
   */
  double load(int peersInFlight, long nowNanos, long reportAgeMaxNanos) {
    LoadReport latest = report;
    int others = peersInFlight;
    if (peersInFlight == 0 && latest != null && nowNanos - reportedNanos <= reportAgeMaxNanos) {
      int total = latest.running() + latest.waiting();
      others = Math.max(others, total - inFlightAtReport);
    }
    return inFlight + Math.max(0, others);
  }
}
