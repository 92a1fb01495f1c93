package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.routing.RoutedService;

/**
 * Limits the requests that this router sends to the cold replicas of one service, so that all
 * routers together stay below the rate at which a cold replica crashes, without any exchange
 * between them. Confined to one thread.
 */
public final class ColdAdmission {

  /** How many routers may send to one cold replica. */
  static final int ROUTERS_PER_REPLICA = 4;

  /** Why a replica counts as cold. */
  enum Cause {
    /** Its entry states so. */
    ENTRY,
    /** It refused a connection, so that it may have restarted. */
    CONNECTION_FAILURE
  }

  private final ColdOptions options;
  private final String self;
  private final Supplier<List<String>> routers;
  private final Supplier<Optional<RoutedService>> service;
  private final LongSupplier nanoTime;
  private final DecisionLog log;
  private final Map<String, ColdReplica> coldReplicas = new HashMap<>();
  private final Set<String> inUse = new HashSet<>();

  /**
   * Creates the admission for one service.
   *
   * @param options the bound
   * @param self the id of this router
   * @param routers the ids of the advertised routers, empty while they have not been read; the same
   *     list until they change
   * @param service the service in the desired state, if known
   * @param nanoTime the monotonic clock in nanoseconds
   * @param log records when a replica becomes cold
   */
  public ColdAdmission(
      ColdOptions options,
      String self,
      Supplier<List<String>> routers,
      Supplier<Optional<RoutedService>> service,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.options = options;
    this.self = self;
    this.routers = routers;
    this.service = service;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  /** Returns an admission without a bound. */
  public static ColdAdmission off() {
    return new ColdAdmission(
        ColdOptions.OFF, "", List::of, Optional::empty, () -> 0, decision -> {});
  }

  /** Records an entry of a replica, which states how long it stays cold. */
  void onEntry(Replica replica) {
    if (!options.enabled()) {
      return;
    }
    inUse.add(replica.id());
    ColdReplica known = coldReplicas.get(replica.id());
    if (known == null && replica.coldLeft().isZero()) {
      return;
    }
    long now = nanoTime.getAsLong();
    ColdReplica cold = known == null ? create(replica, now) : known;
    logIfNew(cold, now);
    cold.onEntry(replica, now);
    logIfNew(cold, now);
  }

  /** Records that a replica is no longer in use. Its state is kept, as it may be added again. */
  void onRemoved(Replica replica) {
    inUse.remove(replica.id());
  }

  /** Records that a replica refused a connection, after which it may have restarted. */
  void onConnectionFailure(Replica replica) {
    Optional<RoutedService> bounded = boundedService();
    if (bounded.isEmpty()) {
      return;
    }
    long now = nanoTime.getAsLong();
    ColdReplica known = coldReplicas.get(replica.id());
    ColdReplica cold = known == null ? create(replica, now) : known;
    logIfNew(cold, now);
    Duration suspicion = bounded.get().coldTime().plus(ReplicaHealth.SUSPENSION_MAX);
    cold.suspectUntil(now + suspicion.toNanos());
    logIfNew(cold, now);
  }

  /** Returns whether a replica counts as cold. */
  boolean cold(Replica replica) {
    ColdReplica cold = coldReplicas.get(replica.id());
    return cold != null && boundedService().isPresent() && cold(cold, nanoTime.getAsLong());
  }

  /** Returns whether one more request may be placed at a replica. */
  boolean admits(Replica replica) {
    if (coldReplicas.isEmpty()) {
      return true;
    }
    ColdReplica cold = coldReplicas.get(replica.id());
    if (cold == null) {
      return true;
    }
    Optional<RoutedService> bounded = boundedService();
    long now = nanoTime.getAsLong();
    if (bounded.isEmpty() || !cold(cold, now)) {
      return true;
    }
    logIfNew(cold, now);
    return cold.used(now) < share(cold, bounded.get());
  }

  /** Reserves room for a request that was placed at a replica, if the replica is cold. */
  void reserve(Replica replica, DispatchRequest request) {
    ColdReplica cold = coldReplicas.get(replica.id());
    if (cold != null && cold(replica)) {
      cold.reserve(request);
    }
  }

  /**
   * Returns whether a placed request may be sent now, and counts it if the replica is cold. The
   * replica may have become cold since the placement.
   */
  boolean admitSend(Replica replica, DispatchRequest request) {
    ColdReplica cold = coldReplicas.get(replica.id());
    if (cold == null) {
      return true;
    }
    Optional<RoutedService> bounded = boundedService();
    long now = nanoTime.getAsLong();
    cold.withdraw(request);
    if (bounded.isPresent() && cold(cold, now)) {
      if (cold.used(now) >= share(cold, bounded.get())) {
        return false;
      }
      cold.countSent(request, now);
    }
    return true;
  }

  /** Records that an attempt has ended; gives back its reservation if it was not sent. */
  void onAttemptEnded(Replica replica, DispatchRequest request) {
    ColdReplica cold = coldReplicas.get(replica.id());
    if (cold != null) {
      cold.onAttemptEnded(request);
    }
  }

  /** Gives back the room of a request that was counted as sent, but was not. */
  void onNotSent(Replica replica, DispatchRequest request) {
    ColdReplica cold = coldReplicas.get(replica.id());
    if (cold != null) {
      cold.uncountSent(request);
    }
  }

  private Optional<RoutedService> boundedService() {
    return options.enabled() ? service.get().filter(RoutedService::boundsCold) : Optional.empty();
  }

  private int share(ColdReplica cold, RoutedService bounded) {
    return cold.mayBeSentToBy(self, routers.get()) ? options.share(bounded.coldPerSecond()) : 0;
  }

  private boolean cold(ColdReplica cold, long now) {
    return cold.coldByEntry(now) || (cold.suspected(now) && !suspectsMost(now));
  }

  /**
   * Returns whether more than half of the replicas in use are suspected: then this router is more
   * likely cut off itself, and limiting all replicas would take its capacity.
   */
  private boolean suspectsMost(long now) {
    int suspected = 0;
    for (ColdReplica cold : coldReplicas.values()) {
      if (cold.suspected(now) && inUse.contains(cold.id())) {
        suspected++;
      }
    }
    return 2 * suspected > inUse.size();
  }

  private ColdReplica create(Replica replica, long now) {
    coldReplicas.values().removeIf(cold -> cold.expired(now));
    ColdReplica created = new ColdReplica(replica, now);
    coldReplicas.put(replica.id(), created);
    return created;
  }

  /** Logs if a replica counts as cold and did not at the last call. */
  private void logIfNew(ColdReplica cold, long now) {
    Optional<RoutedService> bounded = boundedService();
    boolean isCold = bounded.isPresent() && cold(cold, now);
    if (cold.changeTo(isCold) && isCold) {
      log.record(
          Decision.of(DecisionEvent.REPLICA_COLD)
              .with("replica", cold.id())
              .with("service", bounded.get().name())
              .with("left_millis", Duration.ofNanos(cold.leftNanos(now)).toMillis())
              .with(
                  "cause", (cold.coldByEntry(now) ? Cause.ENTRY : Cause.CONNECTION_FAILURE).name())
              .with("share", share(cold, bounded.get())));
    }
  }
}
