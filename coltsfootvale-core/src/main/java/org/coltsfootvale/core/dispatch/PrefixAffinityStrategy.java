package org.coltsfootvale.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.jspecify.annotations.Nullable;

/**
 * Selects a replica that holds the shared part of a prompt while its load is within the bound, and
 * another replica otherwise. A part that no replica holds is placed by rendezvous hashing, so that
 * routers that receive it at the same time select the same replica.
 */
final class PrefixAffinityStrategy implements ReplicaSelectionStrategy {

  /** The requests per slot up to which a replica accepts more. */
  static final double LOAD_PER_SLOT_MAX = 1.0;

  private static final double NANOS_PER_MILLI = 1e6;

  private final DispatchOptions options;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts peers;
  private final LongSupplier nanoTime;

  PrefixAffinityStrategy(
      DispatchOptions options,
      PromptCacheLocations locations,
      PeerRequestCounts peers,
      LongSupplier nanoTime) {
    this.options = options;
    this.locations = locations;
    this.peers = peers;
    this.nanoTime = nanoTime;
  }

  @Override
  public @Nullable Placement select(DispatchRequest request, Collection<ReplicaState> replicas) {
    long now = nanoTime.getAsLong();
    LoadEstimates loads = new LoadEstimates(replicas, peers, options, now);
    List<Candidate> available = candidates(request, loads);
    List<Candidate> healthy =
        available.stream().filter(candidate -> healthy(candidate, now)).toList();
    return selectCandidate(request, healthy.isEmpty() ? available : healthy, loads.mean());
  }

  private @Nullable Placement selectCandidate(
      DispatchRequest request, List<Candidate> candidates, double meanLoad) {
    boolean costly = request.description().sharedTokens() >= options.costlyPrefixTokens();
    double factor = costly ? options.loadBoundMax() : options.loadBound();
    double bound = factor * meanLoad + options.loadBoundExtra();
    Candidate holder =
        leastLoaded(candidates, candidate -> candidate.holds() && withinBound(candidate, bound));
    if (holder != null) {
      return placement(holder, Placement.Basis.HOLDS_PART, candidates, meanLoad);
    }
    double overflowBound = options.loadBound() * meanLoad + options.loadBoundExtra();
    Candidate home = highestRanked(candidates, candidate -> withinBound(candidate, overflowBound));
    if (home != null) {
      return placement(home, Placement.Basis.RANKED_FIRST, candidates, meanLoad);
    }
    Candidate least = leastLoaded(candidates, candidate -> true);
    return least == null
        ? null
        : placement(least, Placement.Basis.LEAST_LOADED, candidates, meanLoad);
  }

  private static Placement placement(
      Candidate selected, Placement.Basis basis, List<Candidate> candidates, double meanLoad) {
    return new Placement(
        selected.replica(), basis, selected.load(), meanLoad, candidates.size(), CachedPrefix.NONE);
  }

  private static boolean withinBound(Candidate candidate, double bound) {
    return candidate.load() + 1 <= bound;
  }

  private static @Nullable Candidate leastLoaded(
      List<Candidate> candidates, Predicate<Candidate> allowed) {
    return candidates.stream()
        .filter(allowed)
        .min(Comparator.comparingDouble(Candidate::load))
        .orElse(null);
  }

  private static @Nullable Candidate highestRanked(
      List<Candidate> candidates, Predicate<Candidate> allowed) {
    return candidates.stream()
        .filter(allowed)
        .max(Comparator.comparingDouble(Candidate::rank))
        .orElse(null);
  }

  private List<Candidate> candidates(DispatchRequest request, LoadEstimates loads) {
    long partHash = request.sharedPrefixes().get(0).hash();
    Set<Long> holders = locations.holders(partHash);
    List<Candidate> candidates = new ArrayList<>();
    loads
        .byReplica()
        .forEach(
            (replica, load) -> {
              boolean full = load >= LOAD_PER_SLOT_MAX * replica.replica().slots();
              if (!full && !request.excludes(replica) && replica.available()) {
                double rank = RendezvousHashing.score(partHash, replica.nameHash(), 1.0);
                boolean holds = holders.contains(replica.cacheHash());
                candidates.add(new Candidate(replica, load + prefillLoad(replica), rank, holds));
              }
            });
    return candidates;
  }

  /**
   * Converts the prefill backlog beyond the allowed delay into an equivalent number of requests.
   */
  private double prefillLoad(ReplicaState replica) {
    double delayNanos =
        replica.pendingPrefillTokens() / options.prefillTokensPerMilli() * NANOS_PER_MILLI;
    return Math.max(0, delayNanos / options.prefillBacklogMax().toNanos() - 1);
  }

  private boolean healthy(Candidate candidate, long now) {
    ReplicaState replica = candidate.replica();
    return replica.health().failureRate() <= options.failureRateMax()
        && replica.health().peerPauseRemaining().isZero()
        && replica.silentNanos(now) <= options.silenceMax().toNanos();
  }

  /** A replica that can take the request. */
  private record Candidate(ReplicaState replica, double load, double rank, boolean holds) {}
}
