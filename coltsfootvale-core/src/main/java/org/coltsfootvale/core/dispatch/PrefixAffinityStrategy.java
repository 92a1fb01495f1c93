package org.coltsfootvale.core.dispatch;

import java.util.Collection;
import java.util.Set;
import java.util.function.LongSupplier;
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
  private final PromptCandidates candidates = new PromptCandidates();

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
    long partHash = request.sharedPrefixes().get(0).hash();
    double totalLoad = collectCandidates(request, replicas, locations.holders(partHash), now);
    Placement selected =
        candidates.size() == 0
            ? null
            : selectCandidate(request, partHash, totalLoad / replicas.size());
    candidates.clear();
    return selected;
  }

  private Placement selectCandidate(DispatchRequest request, long partHash, double meanLoad) {
    boolean costly = request.description().sharedTokens() >= options.costlyPrefixTokens();
    double factor = costly ? options.loadBoundMax() : options.loadBound();
    double bound = factor * meanLoad + options.loadBoundExtra();
    // If the least loaded holder is beyond the bound, all holders are.
    int holder = candidates.leastLoadedHolder();
    if (holder >= 0 && PromptCandidates.withinBound(candidates.load(holder), bound)) {
      return placement(holder, Placement.Basis.HOLDS_PART, meanLoad);
    }
    double overflowBound = options.loadBound() * meanLoad + options.loadBoundExtra();
    int home = candidates.highestRanked(partHash, overflowBound);
    if (home >= 0) {
      return placement(home, Placement.Basis.RANKED_FIRST, meanLoad);
    }
    return placement(candidates.leastLoaded(), Placement.Basis.LEAST_LOADED, meanLoad);
  }

  private Placement placement(int selected, Placement.Basis basis, double meanLoad) {
    return new Placement(
        candidates.replica(selected),
        basis,
        candidates.load(selected),
        meanLoad,
        candidates.size(),
        CachedPrefix.NONE);
  }

  /** Collects the replicas that can take the request, and returns the load of all replicas. */
  private double collectCandidates(
      DispatchRequest request, Collection<ReplicaState> replicas, Set<Long> holders, long now) {
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    long silenceMaxNanos = options.silenceMax().toNanos();
    double prefillBacklogMaxNanos = options.prefillBacklogMax().toNanos();
    boolean held = !holders.isEmpty();
    candidates.clear();
    double totalLoad = 0;
    for (ReplicaState replica : replicas) {
      double load = replica.load(peers.inFlightAt(replica), now, reportAgeMaxNanos);
      totalLoad += load;
      boolean full = load >= LOAD_PER_SLOT_MAX * replica.replica().slots();
      if (!full && !request.excludes(replica) && replica.available(now)) {
        candidates.add(
            replica,
            load + prefillLoad(replica, prefillBacklogMaxNanos),
            held && holders.contains(replica.boxedCacheHash()),
            healthy(replica, silenceMaxNanos, now));
      }
    }
    return totalLoad;
  }

  /**
   * Converts the prefill backlog beyond the allowed delay into an equivalent number of requests.
   */
  private double prefillLoad(ReplicaState replica, double prefillBacklogMaxNanos) {
    long pendingTokens = replica.pendingPrefillTokens();
    if (pendingTokens == 0) {
      return 0;
    }
    double delayNanos = pendingTokens / options.prefillTokensPerMilli() * NANOS_PER_MILLI;
    return Math.max(0, delayNanos / prefillBacklogMaxNanos - 1);
  }

  private boolean healthy(ReplicaState replica, long silenceMaxNanos, long now) {
    return !replica.health().failureRateExceeds(options.failureRateMax(), now)
        && !replica.health().pausedAtPeer(now)
        && replica.silentNanos(now) <= silenceMaxNanos;
  }
}
