package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.store.ExpiringTable;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.StoreEntry;
import org.coltsfootvale.core.support.RendezvousHashing;

/** Tracks the live routers by their advertisements in the store. Confined to one thread. */
public final class RouterRegistry implements PrefixListener {

  /** The prefix of the keys under which routers advertise themselves. */
  public static final String PREFIX = "coltsfootvale/routers/";

  /**
   * The shortest time for which a newly advertised router counts as live before its first update: a
   * connection between two starting routers takes about a second.
   */
  private static final Duration FIRST_UPDATE_MIN = Duration.ofSeconds(2);

  private final RouterAdvertisement self;
  private final LongSupplier nanoTime;
  private final Map<String, Long> advertisedNanosById = new HashMap<>();
  private final ExpiringTable<RouterAdvertisement> routers;
  private List<RouterAdvertisement> sorted = List.of();
  private Map<Long, String> idsByHash = Map.of();
  private List<String> advertisedIds = List.of();
  private boolean changed = true;
  private boolean read;

  /**
   * Creates a registry that contains only this router.
   *
   * @param self the advertisement of this router
   * @param expiryGrace how long after the store's return an expired entry is kept in case it is
   *     written again
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RouterRegistry(RouterAdvertisement self, Duration expiryGrace, LongSupplier nanoTime) {
    this.self = self;
    this.nanoTime = nanoTime;
    this.routers = new ExpiringTable<>(expiryGrace, nanoTime, (key, router) -> onRemoved(router));
  }

  private void onRemoved(RouterAdvertisement router) {
    advertisedNanosById.remove(router.id());
    changed = true;
  }

  @Override
  public void onFullRead(List<StoreEntry> entries) {
    read = true;
    changed = true;
    Set<String> present = new HashSet<>();
    for (StoreEntry entry : entries) {
      present.add(entry.key());
      onChange(entry);
    }
    routers.missingIn(present).forEach(key -> routers.remove(key, false));
  }

  /**
   * Applies a full read of a store that was restored from a copy. Advertisements that are new to
   * this router may belong to routers that are gone; these count as live only once an update from
   * them arrives.
   */
  @Override
  public void onRestored(List<StoreEntry> entries) {
    Set<String> advertised = Set.copyOf(advertisedNanosById.keySet());
    onFullRead(entries);
    long overdueNanos = nanoTime.getAsLong() - firstUpdateNanos();
    advertisedNanosById.replaceAll((id, nanos) -> advertised.contains(id) ? nanos : overdueNanos);
  }

  @Override
  public void onChange(StoreEntry entry) {
    entry
        .value()
        .flatMap(RouterAdvertisement::decode)
        .ifPresentOrElse(
            router -> {
              routers.put(entry.key(), router);
              changed = true;
              advertisedNanosById.put(router.id(), nanoTime.getAsLong());
            },
            () -> routers.remove(entry.key(), false));
  }

  @Override
  public void onStoreRecovered() {
    routers.onStoreRecovered();
  }

  /** Removes expired entries whose grace period has ended. */
  public void expire() {
    routers.expire();
  }

  /** Returns the number of advertised routers, this one included; at least 1. */
  public int size() {
    return routers.size() + (advertisedSelf() ? 0 : 1);
  }

  /** Returns the advertised routers, this one included, sorted by id. */
  public List<RouterAdvertisement> routers() {
    if (changed) {
      List<RouterAdvertisement> all = new ArrayList<>(routers.all());
      if (!advertisedSelf()) {
        all.add(self);
      }
      all.sort(Comparator.comparing(RouterAdvertisement::id));
      Map<Long, String> hashes = new HashMap<>();
      all.forEach(router -> hashes.put(RendezvousHashing.hash(router.id()), router.id()));
      sorted = List.copyOf(all);
      List<String> ids = routers.all().stream().map(RouterAdvertisement::id).sorted().toList();
      if (read && !ids.equals(advertisedIds)) {
        advertisedIds = ids;
      }
      idsByHash = hashes;
      changed = false;
    }
    return sorted;
  }

  /**
   * Returns the ids of the advertised routers; empty until they have been read in full. This router
   * is included only if its advertisement was read, because the others do not know of it before.
   * The list is the same object until an advertisement changes.
   */
  public List<String> advertisedIds() {
    routers();
    return advertisedIds;
  }

  /** Returns the advertisement of another router. */
  Optional<RouterAdvertisement> find(String routerId) {
    return routers.find(PREFIX + routerId);
  }

  /** Returns the id of an advertised router by its hash. */
  public Optional<String> idOf(long hash) {
    routers();
    return Optional.ofNullable(idsByHash.get(hash));
  }

  /** Returns the time since this router saw the advertisement, zero if it did not. */
  public Duration ageOf(RouterAdvertisement router) {
    long now = nanoTime.getAsLong();
    return Duration.ofNanos(now - advertisedNanosById.getOrDefault(router.id(), now));
  }

  /** Returns this router's advertisement. */
  public RouterAdvertisement self() {
    return self;
  }

  /**
   * Returns the advertised routers, this one included, except those whose updates have stopped; an
   * advertisement outlives its router by its lease. Without active peers this router assumes that
   * it is cut off itself and returns all.
   *
   * @param peerIds the ids of the peers from which updates arrive
   */
  public List<RouterAdvertisement> live(Set<String> peerIds) {
    List<RouterAdvertisement> all = routers();
    if (peerIds.isEmpty()) {
      return all;
    }
    long now = nanoTime.getAsLong();
    long firstUpdateNanos = firstUpdateNanos();
    return all.stream()
        .filter(
            router ->
                isSelf(router)
                    || peerIds.contains(router.id())
                    || now - advertisedNanosById.getOrDefault(router.id(), now) < firstUpdateNanos)
        .toList();
  }

  private long firstUpdateNanos() {
    Duration timeToLive = UpdateTimings.timeToLive(size());
    return (timeToLive.compareTo(FIRST_UPDATE_MIN) > 0 ? timeToLive : FIRST_UPDATE_MIN).toNanos();
  }

  private boolean advertisedSelf() {
    return routers.find(PREFIX + self.id()).isPresent();
  }

  /** Returns whether an advertisement is this router's. */
  public boolean isSelf(RouterAdvertisement router) {
    return router.id().equals(self.id());
  }

  /** Returns the other advertised routers. */
  public List<RouterAdvertisement> peers() {
    return routers().stream().filter(router -> !isSelf(router)).toList();
  }
}
