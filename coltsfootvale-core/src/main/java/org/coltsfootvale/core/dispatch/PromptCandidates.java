package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * The replicas that can take a prompt: the healthy ones, or all if none is healthy. Reused for each
 * placement, so that a placement allocates nothing per replica. Confined to one thread.
 */
final class PromptCandidates {

  private static final int INITIAL_CAPACITY = 16;

  private final List<ReplicaState> replicas = new ArrayList<>();
  private double[] loads = new double[INITIAL_CAPACITY];
  private boolean anyHealthy;
  private int leastLoaded = -1;
  private int leastLoadedHolder = -1;

  /** Adds a replica, unless it is not healthy and another one is. */
  void add(ReplicaState replica, double load, boolean holdsPart, boolean healthy) {
    if (healthy && !anyHealthy) {
      clear();
      anyHealthy = true;
    } else if (!healthy && anyHealthy) {
      return;
    }
    int index = replicas.size();
    replicas.add(replica);
    if (index == loads.length) {
      loads = Arrays.copyOf(loads, 2 * index);
    }
    loads[index] = load;
    if (leastLoaded < 0 || load < loads[leastLoaded]) {
      leastLoaded = index;
    }
    if (holdsPart && (leastLoadedHolder < 0 || load < loads[leastLoadedHolder])) {
      leastLoadedHolder = index;
    }
  }

  /** Removes all replicas. */
  void clear() {
    replicas.clear();
    anyHealthy = false;
    leastLoaded = -1;
    leastLoadedHolder = -1;
  }

  int size() {
    return replicas.size();
  }

  ReplicaState replica(int index) {
    return replicas.get(index);
  }

  double load(int index) {
    return loads[index];
  }

  /** Returns the index of the replica with the least load, -1 if there is none. */
  int leastLoaded() {
    return leastLoaded;
  }

  /** Returns the index of the replica with the least load that holds the part, -1 if none does. */
  int leastLoadedHolder() {
    return leastLoadedHolder;
  }

  /**
   * Returns the index of the replica that ranks first for a part by rendezvous hashing among those
   * within a load bound, -1 if none is.
   */
  int highestRanked(long partHash, double bound) {
    int first = -1;
    long firstRank = -1;
    for (int i = 0; i < replicas.size(); i++) {
      if (withinBound(loads[i], bound)) {
        long rank = RendezvousHashing.rank(partHash, replicas.get(i).nameHash());
        if (rank > firstRank) {
          first = i;
          firstRank = rank;
        }
      }
    }
    return first;
  }

  /** Returns whether a replica with a load stays within a bound with one more request. */
  static boolean withinBound(double load, double bound) {
    return load + 1 <= bound;
  }
}
