package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Tracks which replicas hold which prompt parts in their cache, from the placements of this router
 * and the updates of its peers. Parts are identified by hashes of their ids, caches by hashes of
 * the replica's id and start time, since a restart empties the cache. Confined to one thread.
 */
public final class PromptCacheLocations {

  /** A prompt part and a cache that holds it, both as hashes. */
  public record PartLocation(long part, long cache) {}

  /** The capacity in parts; the least recently used one is evicted. */
  private static final int PARTS_MAX = 20_000;

  /** The interval at which a part in continued use is published again. */
  private static final Duration REPUBLISH_INTERVAL = Duration.ofSeconds(10);

  private final long timeToLiveNanos;
  private final LongSupplier nanoTime;
  private final Map<Long, Map<Long, Use>> usesByPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Long, Use>> eldest) {
          return size() > PARTS_MAX;
        }
      };
  private List<PartLocation> unpublished = new ArrayList<>();
  private boolean complete = true;

  /**
   * Creates an instance without locations.
   *
   * @param timeToLive how long after its last use a part is assumed to be cached
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public PromptCacheLocations(Duration timeToLive, LongSupplier nanoTime) {
    this.timeToLiveNanos = timeToLive.toNanos();
    this.nanoTime = nanoTime;
  }

  /** Records that this router sends a request with a part to a replica. */
  void recordPlacement(long part, ReplicaState replica) {
    Use use = use(part, replica.cacheHash());
    if (use.usedNanos - use.publishedNanos >= REPUBLISH_INTERVAL.toNanos()) {
      use.publishedNanos = use.usedNanos;
      unpublished.add(new PartLocation(part, replica.cacheHash()));
    }
  }

  /** Records a placement received from a peer. */
  public void onPeerPlacement(PartLocation location) {
    Use use = use(location.part(), location.cache());
    use.publishedNanos = use.usedNanos;
  }

  /** Returns the placements to publish since the last call. */
  public List<PartLocation> drainUpdates() {
    List<PartLocation> drained = unpublished;
    unpublished = new ArrayList<>();
    return drained;
  }

  /** Records the parts that a replica lists as cached, and queues them for publishing. */
  public void onCacheListing(Replica replica, List<String> parts) {
    long cache = ReplicaState.cacheHash(replica);
    for (String part : parts) {
      long partHash = RendezvousHashing.hash(part);
      Use use = use(partHash, cache);
      use.publishedNanos = use.usedNanos;
      unpublished.add(new PartLocation(partHash, cache));
    }
  }

  /** Returns all known locations, for a router that has just started. */
  public List<PartLocation> all() {
    List<PartLocation> all = new ArrayList<>();
    usesByPart.forEach(
        (part, used) -> used.keySet().forEach(cache -> all.add(new PartLocation(part, cache))));
    return all;
  }

  /** Sets whether the discovery of cached parts after a start has ended. */
  void complete(boolean ended) {
    complete = ended;
  }

  /** Returns whether the discovery of cached parts after a start has ended. */
  boolean complete() {
    return complete;
  }

  /** Returns the hashes of all caches with a known part. */
  Set<Long> caches() {
    Set<Long> caches = new HashSet<>();
    usesByPart.values().forEach(used -> caches.addAll(used.keySet()));
    return caches;
  }

  /** Returns the hashes of the caches that hold a part. */
  Set<Long> holders(long part) {
    Map<Long, Use> used = usesByPart.get(part);
    if (used == null) {
      return Set.of();
    }
    long oldest = nanoTime.getAsLong() - timeToLiveNanos;
    used.values().removeIf(use -> use.usedNanos - oldest < 0);
    return used.keySet();
  }

  private Use use(long part, long cache) {
    long now = nanoTime.getAsLong();
    Use use =
        usesByPart
            .computeIfAbsent(part, hash -> new LinkedHashMap<>())
            .computeIfAbsent(cache, hash -> new Use(now - REPUBLISH_INTERVAL.toNanos()));
    use.usedNanos = now;
    return use;
  }

  /** The times at which a part was last used at a replica and last published to peers. */
  private static final class Use {

    private long usedNanos;
    private long publishedNanos;

    Use(long publishedNanos) {
      this.publishedNanos = publishedNanos;
    }
  }
}
