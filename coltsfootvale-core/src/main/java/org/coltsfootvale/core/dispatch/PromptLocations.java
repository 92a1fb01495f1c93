package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
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
public final class PromptLocations {

  /** A part that was placed at a replica, in hashes. */
  public record Placed(long part, long cache) {}

  /** The parts that are remembered; the one that was used the longest time ago yields. */
  private static final int PARTS_MAX = 20_000;

  private final long lifeNanos;
  private final LongSupplier nanoTime;
  private final Map<Long, Map<Long, Long>> usedNanosByPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Long, Long>> eldest) {
          return size() > PARTS_MAX;
        }
      };
  private List<Placed> news = new ArrayList<>();
  private boolean complete = true;

  /**
   * Creates empty knowledge.
   *
   * @param life how long after its last use a part is taken to be in a cache
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public PromptLocations(Duration life, LongSupplier nanoTime) {
    this.lifeNanos = life.toNanos();
    this.nanoTime = nanoTime;
  }

  /** Takes note that this router sends a request with a part to a replica. */
  void placed(long part, ReplicaState replica) {
    record(part, replica.cacheHash());
    news.add(new Placed(part, replica.cacheHash()));
  }

  /** Takes note that another router has sent a request with a part to a replica. */
  public void heard(Placed placed) {
    record(placed.part(), placed.cache());
  }

  /** Returns what was placed since the last call, for the other routers. */
  public List<Placed> drainNews() {
    List<Placed> drained = news;
    news = new ArrayList<>();
    return drained;
  }

  /** Takes a replica's own list of the parts that it holds, and passes it on as news. */
  public void listed(Replica replica, List<String> parts) {
    long cache = ReplicaState.cacheHash(replica);
    for (String part : parts) {
      long partHash = RendezvousHashing.hash(part);
      record(partHash, cache);
      news.add(new Placed(partHash, cache));
    }
  }

  /** Returns all that is known, for a router that has just started. */
  public List<Placed> all() {
    List<Placed> all = new ArrayList<>();
    usedNanosByPart.forEach(
        (part, used) -> used.keySet().forEach(cache -> all.add(new Placed(part, cache))));
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
    usedNanosByPart.values().forEach(used -> caches.addAll(used.keySet()));
    return caches;
  }

  /** Returns the hashes of the caches that hold a part. */
  Set<Long> holders(long part) {
    Map<Long, Long> used = usedNanosByPart.get(part);
    if (used == null) {
      return Set.of();
    }
    long oldest = nanoTime.getAsLong() - lifeNanos;
    Iterator<Long> times = used.values().iterator();
    while (times.hasNext()) {
      if (times.next() - oldest < 0) {
        times.remove();
      }
    }
    return used.keySet();
  }

  private void record(long part, long cache) {
    usedNanosByPart
        .computeIfAbsent(part, hash -> new LinkedHashMap<>())
        .put(cache, nanoTime.getAsLong());
  }
}
