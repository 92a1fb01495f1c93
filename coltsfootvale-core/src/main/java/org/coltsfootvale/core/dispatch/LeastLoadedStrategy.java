package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Selects the replica with the least load per slot. At equal loads it prefers the local data
 * centre; remaining ties are broken at random.
 */
final class LeastLoadedStrategy implements ReplicaSelectionStrategy {

  /**
   * The requests per slot up to which a replica accepts more; those beyond its slots wait at the
   * replica.
   */
  static final double LOAD_PER_SLOT_MAX = 2.0;

  /** The cost of using another data centre, in load per slot. */
  private static final double REMOTE_COST = 0.04;

  private static final double TIE_BREAK_COST = 0.01;

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
  public @Nullable Placement select(DispatchRequest request, Collection<ReplicaState> replicas) {
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
      if (request.excludes(replica) || !replica.available() || load >= LOAD_PER_SLOT_MAX * slots) {
        continue;
      }
      candidates++;
      double cost = load / slots + random.nextDouble() * TIE_BREAK_COST;
      cost += replica.health().failureRate() * failureCost(replica);
      if (!replica.replica().dataCentre().equals(ownDataCentre)) {
        cost += REMOTE_COST;
      }
      if (unresponsive(replica, now) || !replica.health().peerPauseRemaining().isZero()) {
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

  /**
   * Returns the weight of the failure rate in the cost: above the limit a failing replica costs as
   * much as a full one.
   */
  private double failureCost(ReplicaState replica) {
    return replica.health().failureRate() > options.failureRateMax() ? 2.0 : 0.1;
  }

  private boolean unresponsive(ReplicaState replica, long now) {
    return replica.silentNanos(now) > options.silenceMax().toNanos();
  }
}
