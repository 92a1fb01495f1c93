package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The replicas that can take a queued request now. Determined once for all queued requests, so that
 * a request is evaluated against all replicas only if one of them can take it. Confined to one
 * thread.
 */
final class OpenReplicas {

  private final DispatchOptions options;
  private final PeerRequestCounts peers;
  private final List<ReplicaState> forPrompts = new ArrayList<>();
  private final List<ReplicaState> forOthers = new ArrayList<>();

  OpenReplicas(DispatchOptions options, PeerRequestCounts peers) {
    this.options = options;
    this.peers = peers;
  }

  /** Determines the open replicas of a service. */
  void update(Collection<ReplicaState> replicas, long nowNanos) {
    forPrompts.clear();
    forOthers.clear();
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    for (ReplicaState replica : replicas) {
      double load = replica.load(peers.inFlightAt(replica), nowNanos, reportAgeMaxNanos);
      int slots = replica.replica().slots();
      boolean openForPrompts = load < PrefixAffinityStrategy.LOAD_PER_SLOT_MAX * slots;
      boolean openForOthers = load < LeastLoadedStrategy.LOAD_PER_SLOT_MAX * Math.max(1, slots);
      if ((openForPrompts || openForOthers) && replica.available(nowNanos)) {
        if (openForPrompts) {
          forPrompts.add(replica);
        }
        if (openForOthers) {
          forOthers.add(replica);
        }
      }
    }
  }

  /** Returns whether any replica is open for prompts. */
  boolean anyForPrompts() {
    return !forPrompts.isEmpty();
  }

  /** Returns whether any replica is open for requests without a prompt. */
  boolean anyForOthers() {
    return !forOthers.isEmpty();
  }

  /** Returns whether a replica that the request does not exclude is open for it. */
  boolean admits(DispatchRequest request) {
    List<ReplicaState> open = request.description().prompt().isEmpty() ? forOthers : forPrompts;
    if (open.size() > request.excludedReplicas()) {
      return true;
    }
    for (int i = 0; i < open.size(); i++) {
      if (!request.excludes(open.get(i))) {
        return true;
      }
    }
    return false;
  }
}
