package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The outstanding requests of other routers at each replica, from each peer's latest update.
 * Replicas are identified by hashes of their ids. Confined to one thread.
 */
public final class PeerRequestCounts {

  private final Supplier<Duration> timeToLive;
  private final LongSupplier nanoTime;
  private final Map<String, PeerUpdate> updatesByPeer = new HashMap<>();
  private final Map<Long, Integer> totals = new HashMap<>();

  /**
   * Creates an instance without updates.
   *
   * @param timeToLive how long an update is valid; may change with the size of the fleet
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public PeerRequestCounts(Supplier<Duration> timeToLive, LongSupplier nanoTime) {
    this.timeToLive = timeToLive;
    this.nanoTime = nanoTime;
  }

  /** Replaces a peer's requests by replica; replicas that are not named have none. */
  public void onUpdate(String peer, Map<Long, Integer> inFlightByReplica) {
    PeerUpdate latest = new PeerUpdate(nanoTime.getAsLong(), Map.copyOf(inFlightByReplica));
    PeerUpdate before = updatesByPeer.put(peer, latest);
    if (before != null) {
      before.inFlightByReplica().forEach((replica, count) -> addToTotal(replica, -count));
    }
    latest.inFlightByReplica().forEach(this::addToTotal);
  }

  /** Removes a peer's requests, for example when another router now reports for it. */
  public void remove(String peer) {
    PeerUpdate before = updatesByPeer.remove(peer);
    if (before != null) {
      before.inFlightByReplica().forEach((replica, count) -> addToTotal(replica, -count));
    }
  }

  /** Returns the requests of all peers by replica. */
  public Map<Long, Integer> inFlight() {
    return Collections.unmodifiableMap(totals);
  }

  /** Returns the requests of one peer by replica. */
  public Map<Long, Integer> inFlightOf(String peer) {
    PeerUpdate update = updatesByPeer.get(peer);
    return update == null ? Map.of() : update.inFlightByReplica();
  }

  /** Returns the requests of all peers at a replica. */
  public int inFlightAt(long replicaHash) {
    return totals.getOrDefault(replicaHash, 0);
  }

  /** Returns the requests of all peers at a replica, without boxing its hash at each lookup. */
  int inFlightAt(ReplicaState replica) {
    Integer total = totals.get(replica.boxedNameHash());
    return total == null ? 0 : total;
  }

  /** Removes peers whose latest update has expired. */
  public void expire() {
    long now = nanoTime.getAsLong();
    long timeToLiveNanos = timeToLive.get().toNanos();
    boolean removed =
        updatesByPeer.values().removeIf(update -> now - update.receivedNanos() > timeToLiveNanos);
    if (removed) {
      totals.clear();
      updatesByPeer
          .values()
          .forEach(update -> update.inFlightByReplica().forEach(this::addToTotal));
    }
  }

  private void addToTotal(long replicaHash, int count) {
    totals.merge(replicaHash, count, Integer::sum);
    totals.remove(replicaHash, 0);
  }

  /** Returns the ids of the peers with a valid update. */
  public Set<String> activePeerIds() {
    return Set.copyOf(updatesByPeer.keySet());
  }

  /** Returns the number of peers with a valid update. */
  public int activePeerCount() {
    return updatesByPeer.size();
  }

  private record PeerUpdate(long receivedNanos, Map<Long, Integer> inFlightByReplica) {}
}
