package org.coltsfootvale.core.dispatch;

import java.util.OptionalLong;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/** This router's view of one replica's load and health. Confined to one thread. */
public final class ReplicaState {

  /** The number of concurrent requests from this router to a replica on probation after a pause. */
  private static final int PROBATION_REQUESTS_MAX = 2;

  private final ReplicaHealth health;
  private final ColdAdmission coldAdmission;
  private final Long nameHash;
  private final Long cacheHash;
  private Replica replica;
  private int inFlight;
  private long pendingPrefillTokens;
  private @Nullable LoadReport report;
  private long reportedNanos;
  private int inFlightAtReport;
  private long busySinceNanos;
  private long confirmedNanos;
  private boolean evacuated;

  ReplicaState(Replica replica, ReplicaHealth health, ColdAdmission coldAdmission, long nowNanos) {
    this.coldAdmission = coldAdmission;
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

  /** Returns whether the replica is in a pause requested from this router. */
  public boolean paused() {
    return health.paused();
  }

  /**
   * Returns whether the replica can take another request of this router, regardless of its load.
   * Evaluated once for each replica and placement.
   */
  boolean available(long nowNanos) {
    boolean probationFull = health.onProbation() && inFlight >= PROBATION_REQUESTS_MAX;
    return !evacuated
        && !health.suspended(nowNanos)
        && !health.paused(nowNanos)
        && !probationFull
        && coldAdmission.admits(replica);
  }

  /** Returns whether the replica counts as cold and gets a limited number of requests. */
  public boolean cold() {
    return coldAdmission.cold(replica);
  }

  /**
   * Returns whether a request that was placed here may be sent now, and counts it if the replica is
   * cold.
   */
  public boolean admitSend(DispatchRequest request) {
    return coldAdmission.admitSend(replica, request);
  }

  /**
   * Records that no connection could be opened, after which the replica may have restarted. A
   * connection that was lost is no such sign, as sound replicas lose answers too.
   */
  public void onConnectionRefused() {
    coldAdmission.onConnectionFailure(replica);
  }

  /** Records that a request which was admitted for sending was not sent. */
  public void onNotSent(DispatchRequest request) {
    coldAdmission.onNotSent(replica, request);
  }

  /** Returns whether the replica gets no requests because its data centre is evacuated. */
  public boolean evacuated() {
    return evacuated;
  }

  void setEvacuated(boolean on) {
    evacuated = on;
  }

  /** Returns the number of this router's outstanding requests at the replica. */
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

  /** Returns the hash of the replica's cache; it changes when the replica restarts. */
  long cacheHash() {
    return cacheHash;
  }

  /** Returns the hash of the replica's id, boxed once because each placement looks it up. */
  Long boxedNameHash() {
    return nameHash;
  }

  /** Returns the hash of the replica's cache, boxed once because each placement looks it up. */
  Long boxedCacheHash() {
    return cacheHash;
  }

  static long cacheHash(Replica replica) {
    return RendezvousHashing.hash(replica.id() + '@' + replica.startedMillis());
  }

  void onRequestPlaced(DispatchRequest request, long nowNanos) {
    if (inFlight == 0) {
      busySinceNanos = nowNanos;
    }
    inFlight++;
    coldAdmission.reserve(replica, request);
    pendingPrefillTokens += request.description().promptTokens();
  }

  /** Records that an attempt has ended, whether its request was sent or not. */
  public void onAttemptEnded(DispatchRequest request) {
    coldAdmission.onAttemptEnded(replica, request);
  }

  /** Records that the answer to a request has started. */
  public void onAnswerStarted(DispatchRequest request) {
    pendingPrefillTokens -= request.description().promptTokens();
  }

  void onRequestEnded() {
    inFlight--;
  }

  void onLoadReport(LoadReport latest, long nowNanos) {
    report = latest;
    reportedNanos = nowNanos;
    inFlightAtReport = inFlight;
  }

  /**
   * Returns how long the replica has sent no data while requests were outstanding, in nanoseconds.
   */
  long silentNanos(long nowNanos) {
    if (inFlight == 0) {
      return 0;
    }
    return nowNanos - Math.max(busySinceNanos, health.lastReceivedNanos());
  }

  /** Returns the age of the latest load report; empty if there is none. */
  public OptionalLong reportAgeNanos(long nowNanos) {
    return report == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - reportedNanos);
  }

  /** Returns the prompt tokens of requests whose answer has not started. */
  long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /**
   * Estimates the number of requests of all routers at the replica.
   *
   * @param peersInFlight the requests of the other routers by their updates
   * @param reportAgeMaxNanos the age beyond which the load report is ignored
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
