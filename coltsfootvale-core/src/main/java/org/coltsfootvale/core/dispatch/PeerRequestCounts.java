package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The requests that the other routers have at each replica, by their latest news. Replicas are
 * known by hashes of their ids. Confined to one thread.
 */
public final class PeerRequestCounts {

  private final Supplier<Duration> life;
  private final LongSupplier nanoTime;
  private final Map<String, Heard> heardByPeer = new HashMap<>();
  private final Map<Long, Integer> totals = new HashMap<>();

  /**
   * Creates empty knowledge.
   *
   * @param life how long a router's news are used at present
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public PeerRequestCounts(Supplier<Duration> life, LongSupplier nanoTime) {
    this.life = life;
    this.nanoTime = nanoTime;
  }

  /** Takes the requests of another router, by replica; replicas not named have none. */
  public void onUpdate(String peer, Map<Long, Integer> inFlightByReplica) {
    Heard latest = new Heard(nanoTime.getAsLong(), Map.copyOf(inFlightByReplica));
    Heard before = heardByPeer.put(peer, latest);
    if (before != null) {
      before.inFlightByReplica().forEach((replica, count) -> addToTotal(replica, -count));
    }
    latest.inFlightByReplica().forEach(this::addToTotal);
  }

  /** Forgets what a router has told, as when another one speaks for it now. */
  public void remove(String peer) {
    Heard before = heardByPeer.remove(peer);
    if (before != null) {
      before.inFlightByReplica().forEach((replica, count) -> addToTotal(replica, -count));
    }
  }

  /** Returns the requests of all other routers by replica. */
  public Map<Long, Integer> inFlight() {
    return Collections.unmodifiableMap(totals);
  }

  /** Returns the requests of one other router by replica. */
  public Map<Long, Integer> inFlightOf(String peer) {
    Heard heard = heardByPeer.get(peer);
    return heard == null ? Map.of() : heard.inFlightByReplica();
  }

  /** Returns the requests of all other routers at a replica. */
  public int inFlightAt(long replicaHash) {
    return totals.getOrDefault(replicaHash, 0);
  }

  /** Forgets routers that have been silent for too long. */
  public void expire() {
    long now = nanoTime.getAsLong();
    long lifeNanos = life.get().toNanos();
    boolean removed = heardByPeer.values().removeIf(heard -> now - heard.atNanos() > lifeNanos);
    if (removed) {
      totals.clear();
      heardByPeer.values().forEach(heard -> heard.inFlightByReplica().forEach(this::addToTotal));
    }
  }

  private void addToTotal(long replicaHash, int count) {
    totals.merge(replicaHash, count, Integer::sum);
    totals.remove(replicaHash, 0);
  }

  /** Returns the ids of the other routers that are heard. */
  public Set<String> activePeerIds() {
    return Set.copyOf(heardByPeer.keySet());
  }

  /** Returns the number of other routers that are heard. */
  public int activePeerCount() {
    return heardByPeer.size();
  }

  private record Heard(long atNanos, Map<Long, Integer> inFlightByReplica) {}
}
