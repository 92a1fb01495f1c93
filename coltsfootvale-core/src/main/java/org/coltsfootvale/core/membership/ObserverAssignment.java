package org.coltsfootvale.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/**
 * Assigns observers to engines by rendezvous hashing. Routers with the same view compute the same
 * assignment.
 */
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
    Map<DataCentreId, List<Candidate>> byDataCentre = new HashMap<>();
    List<Candidate> all = new ArrayList<>(routers.size());
    for (RouterView router : routers) {
      RouterId id = router.router().id();
      Candidate candidate = new Candidate(id, HASHER.hashCharsToLong(id.value()));
      all.add(candidate);
      byDataCentre.computeIfAbsent(router.dataCentre(), key -> new ArrayList<>()).add(candidate);
    }
    List<EngineId> observed = new ArrayList<>();
    for (EngineRecord engine : engines) {
      List<Candidate> local = byDataCentre.getOrDefault(engine.dataCentre, List.of());
      List<RouterId> chosen = choose(engine.id, local, observersPerEngine);
      if (chosen.size() < observersPerEngine) {
        chosen.addAll(choose(engine.id, all, observersPerEngine));
      }
      if (firstDistinct(chosen, observersPerEngine).contains(self)) {
        observed.add(engine.id);
      }
    }
    observed.sort(Comparator.naturalOrder());
    return observed;
  }

  private static Set<RouterId> firstDistinct(List<RouterId> routers, int count) {
    return routers.stream().distinct().limit(count).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the candidates with the highest scores for an engine, the highest first. */
  private static List<RouterId> choose(EngineId engine, List<Candidate> candidates, int count) {
    long engineHash = HASHER.hashCharsToLong(engine.value());
    List<Score> best = new ArrayList<>(count + 1);
    for (Candidate candidate : candidates) {
      long hash = HASHER.hashLongLongToLong(engineHash, candidate.hash());
      insert(best, new Score(candidate.router(), hash), count);
    }
    List<RouterId> chosen = new ArrayList<>(best.size());
    best.forEach(score -> chosen.add(score.router()));
    return chosen;
  }

  private static void insert(List<Score> best, Score score, int count) {
    int position = best.size();
    while (position > 0 && score.compareTo(best.get(position - 1)) < 0) {
      position--;
    }
    if (position < count) {
      best.add(position, score);
    }
    if (best.size() > count) {
      best.remove(count);
    }
  }

  private record Candidate(RouterId router, long hash) {}

  private record Score(RouterId router, long hash) implements Comparable<Score> {

    private static final Comparator<Score> ORDER =
        Comparator.comparing(Score::hash, Comparator.reverseOrder()).thenComparing(Score::router);

    @Override
    public int compareTo(Score other) {
      return ORDER.compare(this, other);
    }
  }
}
