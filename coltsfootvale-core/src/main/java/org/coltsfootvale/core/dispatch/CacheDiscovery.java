package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Decides which replicas a router queries for their cached prompt parts after a start, and when it
 * has enough placement data to accept callers. Peers publish the placements they have. After a loss
 * of all routers, each replica is queried by the router that ranks first for it by rendezvous
 * hashing: first among the advertised routers, then among those from which updates arrive, since
 * others may still be starting, and finally by any router. In a fleet with relays only the relays
 * send queries, because each listing delays the work of its replica. Confined to one thread.
 */
public final class CacheDiscovery {

  /**
   * How long replicas are divided among all advertised routers. An update arrives within about 50
   * ms, a router start takes longer.
   */
  private static final Duration ADVERTISED_PHASE = Duration.ofMillis(120);

  /**
   * How long replicas are divided among the active peers; half an update interval in a fleet of a
   * hundred routers.
   */
  private static final Duration ACTIVE_PEER_PHASE = Duration.ofMillis(300);

  /** The longest time for which the router stays unready while caches are unknown. */
  private static final Duration WAIT_MAX = Duration.ofMillis(600);

  private final boolean firstStart;
  private final PromptCacheLocations locations;
  private final LongSupplier nanoTime;
  private final Set<Replica> queried = new HashSet<>();
  private boolean started;
  private boolean finished;
  private long startedNanos;
  private int pendingQueries;

  /**
   * Creates an instance for one router start.
   *
   * @param firstStart whether the whole deployment starts for the first time, with empty caches
   * @param locations the known locations of cached prompt parts
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public CacheDiscovery(boolean firstStart, PromptCacheLocations locations, LongSupplier nanoTime) {
    this.firstStart = firstStart;
    this.locations = locations;
    this.nanoTime = nanoTime;
    locations.complete(firstStart);
  }

  /**
   * Returns the replicas to query now, each at most once. Call repeatedly once the replicas are
   * known.
   *
   * @param routerId the id of this router
   * @param advertisedIds the ids of the advertised routers
   * @param peerIds the ids of the peers from which updates arrive
   * @param engines the replicas that have a cache
   */
  public List<Replica> replicasToQuery(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> peerIds,
      List<Replica> engines) {
    return replicasToQuery(routerId, advertisedIds, peerIds, engines, false);
  }

  /**
   * Returns the replicas that a relay queries now. Unlike {@link #replicasToQuery}, replicas that
   * rank first for an active relay stay with it without a time limit, since a relay may have to
   * query hundreds of replicas.
   */
  public List<Replica> replicasToQueryAtRelay(
      String routerId,
      Collection<String> relayIds,
      Collection<String> activeRelayIds,
      List<Replica> engines) {
    return replicasToQuery(routerId, relayIds, activeRelayIds, engines, true);
  }

  private List<Replica> replicasToQuery(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> peerIds,
      List<Replica> engines,
      boolean waitForActive) {
    startOnce();
    if (finished) {
      return List.of();
    }
    long now = nanoTime.getAsLong();
    List<Replica> undiscovered = undiscovered(engines);
    Optional<Long> self = Optional.of(RendezvousHashing.hash(routerId));
    Set<Long> queryingRouters =
        hashes(
            queryingRouters(routerId, advertisedIds, peerIds, now - startedNanos, waitForActive));
    List<Replica> due = new ArrayList<>();
    for (Replica engine : undiscovered) {
      long engineHash = RendezvousHashing.hash(engine.id());
      if (RendezvousHashing.winner(engineHash, queryingRouters, Long::longValue).equals(self)) {
        due.add(engine);
      }
    }
    queried.addAll(due);
    pendingQueries += due.size();
    boolean allQueried = due.size() == undiscovered.size();
    updateFinished(allQueried && pendingQueries <= 0);
    return due;
  }

  /**
   * Waits for peers to publish what they have discovered. Call repeatedly, as with {@link
   * #replicasToQuery}.
   *
   * @param engines the replicas that have a cache
   */
  public void awaitPeers(List<Replica> engines) {
    startOnce();
    if (!finished) {
      updateFinished(undiscovered(engines).isEmpty());
    }
  }

  private void startOnce() {
    if (!started) {
      started = true;
      startedNanos = nanoTime.getAsLong();
      finished = firstStart;
    }
  }

  private void updateFinished(boolean allKnown) {
    finished = allKnown || nanoTime.getAsLong() - startedNanos >= WAIT_MAX.toNanos();
    locations.complete(finished);
  }

  /** Records that a query has ended, with or without an answer. */
  public void onQueryEnded() {
    pendingQueries--;
  }

  /**
   * Returns whether the router can accept callers: discovery is complete or its time limit has
   * passed.
   */
  public boolean finished() {
    return finished;
  }

  private List<Replica> undiscovered(List<Replica> engines) {
    Set<Long> caches = locations.caches();
    return engines.stream()
        .filter(engine -> !queried.contains(engine))
        .filter(engine -> !caches.contains(ReplicaState.cacheHash(engine)))
        .toList();
  }

  private static Set<String> queryingRouters(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> peerIds,
      long elapsedNanos,
      boolean waitForActive) {
    Set<String> queryingRouters = new HashSet<>();
    if (elapsedNanos < ADVERTISED_PHASE.toNanos()) {
      queryingRouters.addAll(advertisedIds);
    } else if (waitForActive || elapsedNanos < ACTIVE_PEER_PHASE.toNanos()) {
      queryingRouters.addAll(peerIds);
    }
    queryingRouters.add(routerId);
    return queryingRouters;
  }

  private static Set<Long> hashes(Set<String> routerIds) {
    return routerIds.stream().map(RendezvousHashing::hash).collect(Collectors.toSet());
  }
}
