package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.model.HostPort;

/** Finds the cached part of a prompt at the replicas of one service. Confined to one thread. */
final class CachedPrefixLookup {

  /** How long a departed replica still serves fetches from its cache. */
  private static final Duration DEPARTED_FETCH_MAX = Duration.ofSeconds(2);

  private final DispatchOptions options;
  private final PromptCacheLocations locations;
  private final Collection<ReplicaState> replicas;
  private final LongSupplier nanoTime;
  private final Map<Long, Departed> departed = new HashMap<>();

  /**
   * Creates a lookup.
   *
   * @param replicas a view of the replicas in use
   */
  CachedPrefixLookup(
      DispatchOptions options,
      PromptCacheLocations locations,
      Collection<ReplicaState> replicas,
      LongSupplier nanoTime) {
    this.options = options;
    this.locations = locations;
    this.replicas = replicas;
    this.nanoTime = nanoTime;
  }

  /** Records that a replica is no longer in use. */
  void onDeparture(ReplicaState replica) {
    departed.put(
        replica.cacheHash(), new Departed(replica.replica().address(), nanoTime.getAsLong()));
  }

  /** Returns the prefix that a replica holds, and another replica to fetch a longer one from. */
  CachedPrefix find(DispatchRequest request, ReplicaState replica) {
    DispatchRequest.SharedPrefix longest = request.sharedPrefixes().get(0);
    Optional<HostPort> source = Optional.empty();
    int fetchTokens = 0;
    int heldTokens = 0;
    for (DispatchRequest.SharedPrefix prefix : request.sharedPrefixes()) {
      Set<Long> holders = locations.holders(prefix.hash());
      if (holders.contains(replica.boxedCacheHash())) {
        heldTokens = prefix.tokens();
        break;
      }
      if (source.isEmpty() && prefix.tokens() >= options.fetchTokensMin()) {
        source = fetchSource(holders);
        fetchTokens = source.isPresent() ? prefix.tokens() : 0;
      }
    }
    int holders = holdersInUse(longest.hash());
    return new CachedPrefix(longest.tokens(), heldTokens, fetchTokens, source, holders);
  }

  private int holdersInUse(long part) {
    Set<Long> holders = locations.holders(part);
    int inUse = 0;
    if (!holders.isEmpty()) {
      for (ReplicaState replica : replicas) {
        inUse += holders.contains(replica.boxedCacheHash()) ? 1 : 0;
      }
    }
    return inUse;
  }

  private Optional<HostPort> fetchSource(Set<Long> holders) {
    long now = nanoTime.getAsLong();
    long oldest = now - DEPARTED_FETCH_MAX.toNanos();
    departed.values().removeIf(departure -> departure.atNanos() - oldest < 0);
    if (holders.isEmpty()) {
      return Optional.empty();
    }
    for (ReplicaState replica : replicas) {
      if (holders.contains(replica.boxedCacheHash()) && !replica.health().suspended(now)) {
        return Optional.of(replica.replica().address());
      }
    }
    return departed.entrySet().stream()
        .filter(entry -> holders.contains(entry.getKey()))
        .map(entry -> entry.getValue().address())
        .findFirst();
  }

  /** A replica that has departed and may still serve fetches from its cache. */
  private record Departed(HostPort address, long atNanos) {}
}
