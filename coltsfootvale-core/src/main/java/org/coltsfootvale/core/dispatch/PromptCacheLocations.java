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
 * Which replicas hold which parts of prompts in their cache, as far as the requests of this router
 * and the news of its peers tell. Parts are known by hashes of their ids, caches by hashes of the
 * id and the start of their replica, as a restart empties them. Confined to one thread.
 */
public final class PromptCacheLocations {

  /** A part that was placed at a replica, in hashes. */
  public record PartLocation(long part, long cache) {}

  /** The parts that are remembered; the one that was used the longest time ago yields. */
  private static final int PARTS_MAX = 20_000;

  /** How long after it was told a part that is used again is told again. */
  private static final Duration TOLD_AGAIN = Duration.ofSeconds(10);

  private final long lifeNanos;
  private final LongSupplier nanoTime;
  private final Map<Long, Map<Long, Use>> usesByPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Long, Use>> eldest) {
          return size() > PARTS_MAX;
        }
      };
  private List<PartLocation> news = new ArrayList<>();
  private boolean complete = true;

  /**
   * Creates empty knowledge.
   *
   * @param life how long after its last use a part is taken to be in a cache
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public PromptCacheLocations(Duration life, LongSupplier nanoTime) {
    this.lifeNanos = life.toNanos();
    this.nanoTime = nanoTime;
  }

  /** Takes note that this router sends a request with a part to a replica. */
  void recordPlacement(long part, ReplicaState replica) {
    Use use = use(part, replica.cacheHash());
    if (use.usedNanos - use.toldNanos >= TOLD_AGAIN.toNanos()) {
      use.toldNanos = use.usedNanos;
      news.add(new PartLocation(part, replica.cacheHash()));
    }
  }

  /** Takes note that another router has sent a request with a part to a replica. */
  public void onPeerPlacement(PartLocation placed) {
    Use use = use(placed.part(), placed.cache());
    use.toldNanos = use.usedNanos;
  }

  /** Returns what was placed since the last call, for the other routers. */
  public List<PartLocation> drainUpdates() {
    List<PartLocation> drained = news;
    news = new ArrayList<>();
    return drained;
  }

  /** Takes a replica's own list of the parts that it holds, and passes it on as news. */
  public void onCacheListing(Replica replica, List<String> parts) {
    long cache = ReplicaState.cacheHash(replica);
    for (String part : parts) {
      long partHash = RendezvousHashing.hash(part);
      Use use = use(partHash, cache);
      use.toldNanos = use.usedNanos;
      news.add(new PartLocation(partHash, cache));
    }
  }

  /** Returns all that is known, for a router that has just started. */
  public List<PartLocation> all() {
    List<PartLocation> all = new ArrayList<>();
    usesByPart.forEach(
        (part, used) -> used.keySet().forEach(cache -> all.add(new PartLocation(part, cache))));
    return all;
  }

  /** Takes note whether more is about to become known, as when a router has just started. */
  void complete(boolean latest) {
    complete = latest;
  }

  /** Returns whether all is known that will be known shortly. */
  boolean complete() {
    return complete;
  }

  /** Returns the hashes of the caches of which any part is known. */
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
    long oldest = nanoTime.getAsLong() - lifeNanos;
    used.values().removeIf(use -> use.usedNanos - oldest < 0);
    return used.keySet();
  }

  private Use use(long part, long cache) {
    long now = nanoTime.getAsLong();
    Use use =
        usesByPart
            .computeIfAbsent(part, hash -> new LinkedHashMap<>())
            .computeIfAbsent(cache, hash -> new Use(now - TOLD_AGAIN.toNanos()));
    use.usedNanos = now;
    return use;
  }

  /** When a part was used last at a replica, and when the other routers were told of it. */
  private static final class Use {

    private long usedNanos;
    private long toldNanos;

    Use(long toldNanos) {
      this.toldNanos = toldNanos;
    }
  }
}
