package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests of all routers that each replica of a service is taken to work on, at one moment.
 * Computed once for each choice.
 */
final class LoadEstimates {

  private final Map<ReplicaState, Double> loads = new LinkedHashMap<>();
  private double total;

  /**
   * Estimates the loads.
   *
   * @param replicas the replicas of a service
   * @param peers what the other routers have placed
   * @param options how long a replica's own count is used
   * @param nowNanos the monotonic clock
   */
  LoadEstimates(
      Collection<ReplicaState> replicas,
      PeerRequestCounts peers,
      DispatchOptions options,
      long nowNanos) {
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    for (ReplicaState replica : replicas) {
      double load = replica.load(peers.inFlightAt(replica.nameHash()), nowNanos, reportAgeMaxNanos);
      loads.put(replica, load);
      total += load;
    }
  }

  /** Returns the load of each replica. */
  Map<ReplicaState, Double> byReplica() {
    return loads;
  }

  /** Returns the mean over the replicas, 0 without any. */
  double mean() {
    return loads.isEmpty() ? 0 : total / loads.size();
  }
}
