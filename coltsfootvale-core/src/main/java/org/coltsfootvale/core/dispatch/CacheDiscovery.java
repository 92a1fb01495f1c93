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
 * Decides which replicas a router that has just started asks for the parts that they hold, and when
 * it knows enough to take callers. Other routers tell what they know; after a loss of all routers
 * each replica is asked by the router that ranks first for it: first among the advertised routers,
 * then among those that are heard, as others may still be starting, and at last by anyone. In a
 * fleet that has relays these alone ask, as each list delays the work of its replica. Confined to
 * one thread.
 */
public final class CacheDiscovery {

  /** How long the advertised routers have: news between routers take some 50 ms, a start longer. */
  private static final Duration ADVERTISED_ASK = Duration.ofMillis(120);

  /** How long the routers that are heard have; half a period of news in a fleet of a hundred. */
  private static final Duration HEARD_ASK = Duration.ofMillis(300);

  /** How long callers are kept away at most until the caches of all replicas are known. */
  private static final Duration WAIT_MAX = Duration.ofMillis(600);

  private final boolean firstStart;
  private final PromptCacheLocations locations;
  private final LongSupplier nanoTime;
  private final Set<Replica> asked = new HashSet<>();
  private boolean begun;
  private boolean finished;
  private long begunNanos;
  private int unanswered;

  /**
   * Creates a census.
   *
   * @param firstStart whether the whole deployment starts for the first time, with empty caches
   * @param locations where parts are known to be
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public CacheDiscovery(boolean firstStart, PromptCacheLocations locations, LongSupplier nanoTime) {
    this.firstStart = firstStart;
    this.locations = locations;
    this.nanoTime = nanoTime;
    locations.complete(firstStart);
  }

  /**
   * Returns the replicas to ask now; each is returned at most once. To be called again and again
   * from the time on at which the replicas are known.
   *
   * @param routerId this router
   * @param advertisedIds the routers that are advertised
   * @param heardIds the other routers that are heard
   * @param engines the replicas that have a cache
   */
  public List<Replica> replicasToQuery(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> heardIds,
      List<Replica> engines) {
    return replicasToQuery(routerId, advertisedIds, heardIds, engines, false);
  }

  /**
   * Returns the replicas that a relay asks now; like {@link #replicasToQuery}, but those of the
   * relays that are heard are left to them for good: a relay may have hundreds of lists to ask for.
   */
  public List<Replica> replicasToQueryAtRelay(
      String routerId,
      Collection<String> relayIds,
      Collection<String> heardRelayIds,
      List<Replica> engines) {
    return replicasToQuery(routerId, relayIds, heardRelayIds, engines, true);
  }

  private List<Replica> replicasToQuery(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> heardIds,
      List<Replica> engines,
      boolean leftToHeard) {
    begin();
    if (finished) {
      return List.of();
    }
    long now = nanoTime.getAsLong();
    List<Replica> unknown = unknown(engines);
    Optional<Long> self = Optional.of(RendezvousHashing.hash(routerId));
    Set<Long> askers =
        hashes(askers(routerId, advertisedIds, heardIds, now - begunNanos, leftToHeard));
    List<Replica> due = new ArrayList<>();
    for (Replica engine : unknown) {
      long engineHash = RendezvousHashing.hash(engine.id());
      if (RendezvousHashing.winner(engineHash, askers, Long::longValue).equals(self)) {
        due.add(engine);
      }
    }
    asked.addAll(due);
    unanswered += due.size();
    boolean allAsked = due.size() == unknown.size();
    finish(allAsked && unanswered <= 0);
    return due;
  }

  /**
   * Leaves the asking to other routers, which tell what they learn. To be called again and again
   * like {@link #replicasToQuery}.
   *
   * @param engines the replicas that have a cache
   */
  public void awaitPeers(List<Replica> engines) {
    begin();
    if (!finished) {
      finish(unknown(engines).isEmpty());
    }
  }

  private void begin() {
    if (!begun) {
      begun = true;
      begunNanos = nanoTime.getAsLong();
      finished = firstStart;
    }
  }

  private void finish(boolean allKnown) {
    finished = allKnown || nanoTime.getAsLong() - begunNanos >= WAIT_MAX.toNanos();
    locations.complete(finished);
  }

  /** Takes note that a replica has answered, or that it does not. */
  public void onQueryEnded() {
    unanswered--;
  }

  /** Returns whether callers can be taken: all is known that will be known shortly. */
  public boolean finished() {
    return finished;
  }

  private List<Replica> unknown(List<Replica> engines) {
    Set<Long> caches = locations.caches();
    return engines.stream()
        .filter(engine -> !asked.contains(engine))
        .filter(engine -> !caches.contains(ReplicaState.cacheHash(engine)))
        .toList();
  }

  private static Set<String> askers(
      String routerId,
      Collection<String> advertisedIds,
      Collection<String> heardIds,
      long elapsedNanos,
      boolean leftToHeard) {
    Set<String> askers = new HashSet<>();
    if (elapsedNanos < ADVERTISED_ASK.toNanos()) {
      askers.addAll(advertisedIds);
    } else if (leftToHeard || elapsedNanos < HEARD_ASK.toNanos()) {
      askers.addAll(heardIds);
    }
    askers.add(routerId);
    return askers;
  }

  private static Set<Long> hashes(Set<String> routerIds) {
    return routerIds.stream().map(RendezvousHashing::hash).collect(Collectors.toSet());
  }
}
