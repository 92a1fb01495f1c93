package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/** The rules of both selection strategies, written without regard to their cost. */
final class SelectionReference {

  private final DispatchOptions options;
  private final String ownDataCentre;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts peers;

  SelectionReference(
      DispatchOptions options,
      String ownDataCentre,
      PromptCacheLocations locations,
      PeerRequestCounts peers) {
    this.options = options;
    this.ownDataCentre = ownDataCentre;
    this.locations = locations;
    this.peers = peers;
  }

  @Nullable Placement leastLoaded(
      DispatchRequest request,
      Collection<ReplicaState> replicas,
      long now,
      UniformRandomProvider random) {
    ReplicaState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    int candidates = 0;
    for (ReplicaState replica : replicas) {
      int slots = Math.max(1, replica.replica().slots());
      double load = load(replica, now);
      if (request.excludes(replica) || !replica.available(now) || load >= 2.0 * slots) {
        continue;
      }
      candidates++;
      double cost = load / slots + random.nextDouble() * 0.01;
      double failureRate = replica.health().failureRate();
      cost += failureRate * (failureRate > options.failureRateMax() ? 2.0 : 0.1);
      cost += replica.replica().dataCentre().equals(ownDataCentre) ? 0 : 0.04;
      cost += silent(replica, now) || pausedAtPeer(replica) ? 1 : 0;
      if (cost < bestCost) {
        best = replica;
        bestCost = cost;
      }
    }
    return best == null
        ? null
        : new Placement(
            best,
            Placement.Basis.LEAST_LOADED,
            load(best, now),
            meanLoad(replicas, now),
            candidates,
            CachedPrefix.NONE);
  }

  @Nullable Placement prefixAffinity(
      DispatchRequest request, Collection<ReplicaState> replicas, long now) {
    long part = request.sharedPrefixes().get(0).hash();
    Set<Long> holders = Set.copyOf(locations.holders(part));
    List<Candidate> available = new ArrayList<>();
    for (ReplicaState replica : replicas) {
      double load = load(replica, now);
      if (load < replica.replica().slots()
          && !request.excludes(replica)
          && replica.available(now)) {
        available.add(
            new Candidate(
                replica,
                load + prefillLoad(replica),
                RendezvousHashing.score(part, replica.nameHash(), 1.0),
                holders.contains(replica.cacheHash())));
      }
    }
    List<Candidate> healthy =
        available.stream().filter(candidate -> healthy(candidate.replica(), now)).toList();
    return choose(request, healthy.isEmpty() ? available : healthy, meanLoad(replicas, now));
  }

  private @Nullable Placement choose(
      DispatchRequest request, List<Candidate> candidates, double meanLoad) {
    boolean costly = request.description().sharedTokens() >= options.costlyPrefixTokens();
    double cheapBound = options.loadBound() * meanLoad + options.loadBoundExtra();
    double bound =
        costly ? options.loadBoundMax() * meanLoad + options.loadBoundExtra() : cheapBound;
    Comparator<Candidate> byLoad = Comparator.comparingDouble(Candidate::load);
    Predicate<Candidate> holder = candidate -> candidate.holds() && candidate.load() + 1 <= bound;
    Placement.Basis basis = Placement.Basis.HOLDS_PART;
    Candidate chosen = candidates.stream().filter(holder).min(byLoad).orElse(null);
    if (chosen == null) {
      basis = Placement.Basis.RANKED_FIRST;
      chosen =
          candidates.stream()
              .filter(candidate -> candidate.load() + 1 <= cheapBound)
              .max(Comparator.comparingDouble(Candidate::rank))
              .orElse(null);
    }
    if (chosen == null) {
      basis = Placement.Basis.LEAST_LOADED;
      chosen = candidates.stream().min(byLoad).orElse(null);
    }
    return chosen == null
        ? null
        : new Placement(
            chosen.replica(), basis, chosen.load(), meanLoad, candidates.size(), CachedPrefix.NONE);
  }

  private double load(ReplicaState replica, long now) {
    return replica.load(
        peers.inFlightAt(replica.nameHash()), now, options.reportAgeMax().toNanos());
  }

  private double meanLoad(Collection<ReplicaState> replicas, long now) {
    double total = 0;
    for (ReplicaState replica : replicas) {
      total += load(replica, now);
    }
    return replicas.isEmpty() ? 0 : total / replicas.size();
  }

  private double prefillLoad(ReplicaState replica) {
    double delayNanos = replica.pendingPrefillTokens() / options.prefillTokensPerMilli() * 1e6;
    return Math.max(0, delayNanos / options.prefillBacklogMax().toNanos() - 1);
  }

  private boolean healthy(ReplicaState replica, long now) {
    return replica.health().failureRate() <= options.failureRateMax()
        && !pausedAtPeer(replica)
        && !silent(replica, now);
  }

  private static boolean pausedAtPeer(ReplicaState replica) {
    return !replica.health().peerPauseRemaining().isZero();
  }

  private boolean silent(ReplicaState replica, long now) {
    return replica.silentNanos(now) > options.silenceMax().toNanos();
  }

  private record Candidate(ReplicaState replica, double load, double rank, boolean holds) {}
}
