package org.coltsfootvale.core.dispatch;

import java.util.Collection;
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
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    long silenceMaxNanos = options.silenceMax().toNanos();
    double totalLoad = 0;
    ReplicaState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    double bestLoad = 0;
    int candidates = 0;
    for (ReplicaState replica : replicas) {
      double load = replica.load(peers.inFlightAt(replica), now, reportAgeMaxNanos);
      totalLoad += load;
      int slots = Math.max(1, replica.replica().slots());
      if (load >= LOAD_PER_SLOT_MAX * slots
          || request.excludes(replica)
          || !replica.available(now)) {
        continue;
      }
      candidates++;
      double cost = load / slots + random.nextDouble() * TIE_BREAK_COST;
      // The remaining terms only add to the cost.
      if (cost >= bestCost) {
        continue;
      }
      double failureRate = replica.health().failureRate(now);
      cost += failureRate * failureCost(failureRate);
      if (!replica.replica().dataCentre().equals(ownDataCentre)) {
        cost += REMOTE_COST;
      }
      if (replica.silentNanos(now) > silenceMaxNanos || replica.health().pausedAtPeer(now)) {
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
    double meanLoad = totalLoad / replicas.size();
    return new Placement(
        best, Placement.Basis.LEAST_LOADED, bestLoad, meanLoad, candidates, CachedPrefix.NONE);
  }

  /**
   * Returns the weight of the failure rate in the cost: above the limit a failing replica costs as
   * much as a full one.
   */
  private double failureCost(double failureRate) {
    return failureRate > options.failureRateMax() ? 2.0 : 0.1;
  }
}
