package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimated number of requests from all routers at each replica of a service. Computed once per
 * selection.
 */
final class LoadEstimates {

  private final Map<ReplicaState, Double> loads = new LinkedHashMap<>();
  private double total;

  /**
   * Estimates the loads.
   *
   * @param replicas the replicas of a service
   * @param peers the requests placed by other routers
   * @param options the maximum age of load reports
   * @param nowNanos the current monotonic time
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

  /** Returns the mean load, 0 without replicas. */
  double mean() {
    return loads.isEmpty() ? 0 : total / loads.size();
  }
}
