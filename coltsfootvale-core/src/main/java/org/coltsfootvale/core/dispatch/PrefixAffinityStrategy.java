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
 * Sends the requests that share a part of their prompt to the replicas that hold it, as long as
 * their load allows, and to further ones only when it does not. Where a part that nobody holds goes
 * is decided by rendezvous hashing, so that routers which see it at the same time agree.
 */
final class PrefixAffinityStrategy implements ReplicaSelectionStrategy {

  /** The requests for each slot up to which a replica takes further ones. */
  static final double LOAD_A_SLOT_MAX = 1.0;

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
  public @Nullable Placement select(DispatchRequest work, Collection<ReplicaState> replicas) {
    long now = nanoTime.getAsLong();
    LoadEstimates loads = new LoadEstimates(replicas, peers, options, now);
    List<Candidate> open = candidates(work, loads);
    List<Candidate> sound = open.stream().filter(candidate -> sound(candidate, now)).toList();
    return choose(work, sound.isEmpty() ? open : sound, loads.mean());
  }

  private @Nullable Placement choose(
      DispatchRequest work, List<Candidate> candidates, double meanLoad) {
    boolean costly = work.description().sharedTokens() >= options.costlyPrefixTokens();
    double factor = costly ? options.loadBoundMax() : options.loadBound();
    double bound = factor * meanLoad + options.loadBoundExtra();
    Candidate holder =
        leastLoaded(candidates, candidate -> candidate.holds() && fits(candidate, bound));
    if (holder != null) {
      return placement(holder, Placement.Basis.HOLDS_PART, candidates, meanLoad);
    }
    double spillBound = options.loadBound() * meanLoad + options.loadBoundExtra();
    Candidate home = highestRanked(candidates, candidate -> fits(candidate, spillBound));
    if (home != null) {
      return placement(home, Placement.Basis.RANKED_FIRST, candidates, meanLoad);
    }
    Candidate least = leastLoaded(candidates, candidate -> true);
    return least == null
        ? null
        : placement(least, Placement.Basis.LEAST_LOADED, candidates, meanLoad);
  }

  private static Placement placement(
      Candidate chosen, Placement.Basis basis, List<Candidate> candidates, double meanLoad) {
    return new Placement(
        chosen.replica(), basis, chosen.load(), meanLoad, candidates.size(), CachedPrefix.NONE);
  }

  private static boolean fits(Candidate candidate, double bound) {
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

  private List<Candidate> candidates(DispatchRequest work, LoadEstimates loads) {
    long partHash = work.sharedPrefixes().get(0).hash();
    Set<Long> holders = locations.holders(partHash);
    List<Candidate> candidates = new ArrayList<>();
    loads
        .byReplica()
        .forEach(
            (replica, load) -> {
              boolean full = load >= LOAD_A_SLOT_MAX * replica.replica().slots();
              if (!full && !work.excludes(replica) && replica.available()) {
                double rank = RendezvousHashing.score(partHash, replica.nameHash(), 1.0);
                boolean holds = holders.contains(replica.cacheHash());
                candidates.add(new Candidate(replica, load + readingLoad(replica), rank, holds));
              }
            });
    return candidates;
  }

  /** Counts the prompts that a replica still reads, beyond what it reads at once, as requests. */
  private double readingLoad(ReplicaState replica) {
    double delayNanos =
        replica.pendingPrefillTokens() / options.prefillTokensPerMilli() * NANOS_PER_MILLI;
    return Math.max(0, delayNanos / options.prefillBacklogMax().toNanos() - 1);
  }

  private boolean sound(Candidate candidate, long now) {
    ReplicaState replica = candidate.replica();
    return replica.health().failureRate() <= options.failureRateMax()
        && replica.health().peerPauseRemaining().isZero()
        && replica.silentNanos(now) <= options.silenceMax().toNanos();
  }

  /** A replica that may take the request. */
  private record Candidate(ReplicaState replica, double load, double rank, boolean holds) {}
}
