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

/** The live routers by their advertisements. Confined to one thread. */
public final class RouterRegistry implements PrefixListener {

  /** The prefix of the keys under which routers advertise themselves. */
  public static final String PREFIX = "coltsfootvale/routers/";

  /**
   * How long a router counts as live at least that was just advertised and is not heard yet: a
   * connection between two routers that are both starting takes about a second.
   */
  private static final Duration FIRST_NEWS_MIN = Duration.ofSeconds(2);

  private final RouterAdvertisement self;
  private final LongSupplier nanoTime;
  private final Map<String, Long> advertisedNanosById = new HashMap<>();
  private final ExpiringTable<RouterAdvertisement> routers;
  private List<RouterAdvertisement> sorted = List.of();
  private Map<Long, String> idsByHash = Map.of();
  private boolean changed = true;

  /**
   * Creates a registry that knows only this router.
   *
   * @param self this router
   * @param lapseGrace how long after the store's return an entry that lapsed may still come back
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RouterRegistry(RouterAdvertisement self, Duration lapseGrace, LongSupplier nanoTime) {
    this.self = self;
    this.nanoTime = nanoTime;
    this.routers = new ExpiringTable<>(lapseGrace, nanoTime, (key, router) -> onDropped(router));
  }

  private void onDropped(RouterAdvertisement router) {
    advertisedNanosById.remove(router.id());
    changed = true;
  }

  @Override
  public void onFullRead(List<StoreEntry> entries) {
    Set<String> present = new HashSet<>();
    for (StoreEntry entry : entries) {
      present.add(entry.key());
      onChange(entry);
    }
    routers.missingIn(present).forEach(key -> routers.remove(key, false));
  }

  /**
   * Takes the advertisements of a store that was restored from a copy: those that were not known
   * are of routers that may be gone since, and count as live only once they are heard.
   */
  @Override
  public void onRestored(List<StoreEntry> entries) {
    Set<String> advertised = Set.copyOf(advertisedNanosById.keySet());
    onFullRead(entries);
    long unheardNanos = nanoTime.getAsLong() - firstNewsNanos();
    advertisedNanosById.replaceAll((id, nanos) -> advertised.contains(id) ? nanos : unheardNanos);
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

  /** Drops lapsed entries whose grace period has ended. */
  public void expire() {
    routers.expire();
  }

  /** Returns the number of advertised routers, this one included; at least 1. */
  public int size() {
    return routers.size() + (advertisedSelf() ? 0 : 1);
  }

  /** Returns the advertised routers, this one included, by their ids. */
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
      idsByHash = hashes;
      changed = false;
    }
    return sorted;
  }

  /** Returns the id of an advertised router by its hash. */
  public Optional<String> idOf(long hash) {
    routers();
    return Optional.ofNullable(idsByHash.get(hash));
  }

  /** Returns the time since a router was advertised, as far as this router has seen. */
  public Duration ageOf(RouterAdvertisement router) {
    long now = nanoTime.getAsLong();
    return Duration.ofNanos(now - advertisedNanosById.getOrDefault(router.id(), now));
  }

  /** Returns this router's advertisement. */
  public RouterAdvertisement self() {
    return self;
  }

  /**
   * Returns the advertised routers, this one included, without those that have fallen silent: an
   * advertisement outlives its router by its lease. A router that hears nobody takes itself for the
   * one that is cut off and returns all.
   *
   * @param heardIds the other routers that were heard lately
   */
  public List<RouterAdvertisement> live(Set<String> heardIds) {
    List<RouterAdvertisement> all = routers();
    if (heardIds.isEmpty()) {
      return all;
    }
    long now = nanoTime.getAsLong();
    long firstNewsNanos = firstNewsNanos();
    return all.stream()
        .filter(
            router ->
                isSelf(router)
                    || heardIds.contains(router.id())
                    || now - advertisedNanosById.getOrDefault(router.id(), now) < firstNewsNanos)
        .toList();
  }

  private long firstNewsNanos() {
    Duration life = UpdateTimings.timeToLive(size());
    return (life.compareTo(FIRST_NEWS_MIN) > 0 ? life : FIRST_NEWS_MIN).toNanos();
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
