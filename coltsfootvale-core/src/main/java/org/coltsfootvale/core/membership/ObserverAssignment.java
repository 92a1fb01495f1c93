package org.coltsfootvale.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Picks the observers of engines by rendezvous hashing; routers of the same view agree. */
final class ObserverAssignment {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private ObserverAssignment() {}

  /**
   * Returns the engines that a router observes.
   *
   * @param self the router
   * @param routers the live routers
   * @param engines the engines and their data centres
   * @param observersPerEngine the number of observers of each engine
   */
  static List<EngineId> observedBy(
      RouterId self,
      Collection<RouterView> routers,
      Collection<EngineRecord> engines,
      int observersPerEngine) {
    List<EngineId> observed = new ArrayList<>();
    for (EngineRecord engine : engines) {
      if (observers(engine.id, engine.dataCentre, routers, observersPerEngine).contains(self)) {
        observed.add(engine.id);
      }
    }
    observed.sort(Comparator.naturalOrder());
    return observed;
  }

  /** Returns the observers of an engine: routers of its data centre first, then in hash order. */
  static List<RouterId> observers(
      EngineId engine, DataCentreId dataCentre, Collection<RouterView> routers, int count) {
    List<Candidate> best = new ArrayList<>(count + 1);
    for (RouterView router : routers) {
      RouterId id = router.router().id();
      long hash = HASHER.hashCharsToLong(engine.value() + '|' + id.value());
      insert(best, new Candidate(id, router.dataCentre().equals(dataCentre), hash), count);
    }
    return best.stream().map(Candidate::router).toList();
  }

  private static void insert(List<Candidate> best, Candidate candidate, int count) {
    int position = best.size();
    while (position > 0 && candidate.compareTo(best.get(position - 1)) < 0) {
      position--;
    }
    if (position < count) {
      best.add(position, candidate);
    }
    if (best.size() > count) {
      best.remove(count);
    }
  }

  private record Candidate(RouterId router, boolean near, long hash)
      implements Comparable<Candidate> {

    private static final Comparator<Candidate> ORDER =
        Comparator.comparing(Candidate::near)
            .reversed()
            .thenComparing(Candidate::hash, Comparator.reverseOrder())
            .thenComparing(Candidate::router);

    @Override
    public int compareTo(Candidate other) {
      return ORDER.compare(this, other);
    }
  }
}
