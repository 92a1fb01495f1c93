package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to the replica with the least load for each of its slots, in the own data centre
 * when loads are equal, and picks among equals at random.
 */
final class LeastLoadedStrategy implements ReplicaSelectionStrategy {

  /** The requests for each slot up to which a replica takes further ones, which then wait at it. */
  static final double LOAD_A_SLOT_MAX = 2.0;

  /** What crossing to another data centre counts, in slots in use. */
  private static final double CROSSING = 0.04;

  private static final double RANDOM = 0.01;

  private final DispatchOptions options;
  private final String ownDataCentre;
  private final PeerRequestCounts peers;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;

  LeastLoadedStrategy(
      DispatchOptions options,
      String ownDataCentre,
      PeerRequestCounts peers,
      LongSupplier nanoTime,
      UniformRandomProvider random) {
    this.options = options;
    this.ownDataCentre = ownDataCentre;
    this.peers = peers;
    this.nanoTime = nanoTime;
    this.random = random;
  }

  @Override
  public @Nullable Placement select(DispatchRequest work, Collection<ReplicaState> replicas) {
    long now = nanoTime.getAsLong();
    LoadEstimates loads = new LoadEstimates(replicas, peers, options, now);
    ReplicaState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double bestLoad = 0;
    int candidates = 0;
    for (Map.Entry<ReplicaState, Double> estimate : loads.byReplica().entrySet()) {
      ReplicaState replica = estimate.getKey();
      double load = estimate.getValue();
      int slots = Math.max(1, replica.replica().slots());
      if (work.excludes(replica) || !replica.available() || load >= LOAD_A_SLOT_MAX * slots) {
        continue;
      }
      candidates++;
      double cost = load / slots + random.nextDouble() * RANDOM;
      cost += replica.health().failureRate() * failureCost(replica);
      if (!replica.replica().dataCentre().equals(ownDataCentre)) {
        cost += CROSSING;
      }
      if (silent(replica, now) || !replica.health().peerPauseRemaining().isZero()) {
        cost += 1;
      }
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
        bestLoad = load;
      }
    }
    if (best == null) {
      return null;
    }
    return new Placement(
        best, Placement.Basis.LEAST_LOADED, bestLoad, loads.mean(), candidates, CachedPrefix.NONE);
  }

  /** A replica that fails more often than it should costs as much as a full one. */
  private double failureCost(ReplicaState replica) {
    return replica.health().failureRate() > options.failureRateMax() ? 2.0 : 0.1;
  }

  private boolean silent(ReplicaState replica, long now) {
    return replica.silentNanos(now) > options.silenceMax().toNanos();
  }
}
