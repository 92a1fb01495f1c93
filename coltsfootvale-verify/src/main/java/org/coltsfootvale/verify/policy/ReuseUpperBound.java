package org.coltsfootvale.verify.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Upper bound of cache reuse: a single cache with the capacity of the fleet, where a crash loses
 * only the chats of that engine. Each chat is assigned by hash to an engine that is up.
 */
final class ReuseUpperBound {

  private final FleetSize size;
  private final PrefixCache cache;
  private final List<Set<Integer>> chatsByEngine = new ArrayList<>();
  private final Set<Integer> down = new HashSet<>();

  ReuseUpperBound(FleetSize size, WorkloadMix mix) {
    this.size = size;
    this.cache = new PrefixCache(mix.cacheTokensPerEngine() * size.engines());
    for (int i = 0; i < size.engines(); i++) {
      chatsByEngine.add(new TreeSet<>());
    }
  }

  /** Returns the reused share of the reusable prompt tokens. */
  double reuseShare(List<Arrival> arrivals, ChurnPlan churn) {
    int next = 0;
    long reusable = 0;
    long reused = 0;
    for (Arrival arrival : arrivals) {
      while (next < churn.changes().size()
          && churn.changes().get(next).timeMillis() <= arrival.timeMillis()) {
        applyChange(churn.changes().get(next));
        next++;
      }
      reusable += arrival.reusableTokens();
      reused += Math.min(arrival.reusableTokens(), cache.lookUp(arrival.chat()));
      cache.put(arrival.chat(), arrival.promptTokens() + arrival.outputTokens());
      chatsByEngine.get(assignedEngine(arrival.chat())).add(arrival.chat());
    }
    return (double) reused / reusable;
  }

  private int assignedEngine(int chat) {
    int draw = 0;
    while (true) {
      long hash = RendezvousHashing.combine(chat, draw);
      int engine = (int) Math.floorMod(hash, (long) size.engines());
      if (!down.contains(engine)) {
        return engine;
      }
      draw++;
    }
  }

  private void applyChange(ChurnPlan.Change change) {
    if (change.to() == Liveness.LIVE) {
      down.remove(change.engine());
      return;
    }
    down.add(change.engine());
    if (change.to() == Liveness.DEAD) {
      chatsByEngine.get(change.engine()).forEach(cache::remove);
      chatsByEngine.get(change.engine()).clear();
    }
  }
}
