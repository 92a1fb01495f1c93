package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Entries of the store whose writers renew them. An entry that vanishes around an outage of the
 * store is kept for a grace period, because entries that lapsed meanwhile come back shortly after
 * the store does. Confined to one thread.
 *
 * @param <V> what an entry says
 */
public final class ExpiringTable<V> {

  private final Duration grace;
  private final LongSupplier nanoTime;
  private final BiConsumer<String, V> onDrop;
  private final Map<String, V> values = new HashMap<>();
  private final Map<String, Long> lapsedUntilNanos = new HashMap<>();
  private long uncertainUntilNanos;

  /**
   * Creates an empty table.
   *
   * @param grace how long after the store's return an entry that lapsed may still come back
   * @param nanoTime the monotonic clock in nanoseconds
   * @param onDrop hears of entries that are gone
   */
  public ExpiringTable(Duration grace, LongSupplier nanoTime, BiConsumer<String, V> onDrop) {
    this.grace = grace;
    this.nanoTime = nanoTime;
    this.onDrop = onDrop;
    this.uncertainUntilNanos = nanoTime.getAsLong();
  }

  /** Takes note that the store was out of reach until now, so that entries may have lapsed. */
  public void onStoreRecovered() {
    uncertainUntilNanos = nanoTime.getAsLong() + grace.toNanos();
    lapsedUntilNanos.replaceAll((key, until) -> uncertainUntilNanos);
  }

  /** Takes an entry as the store holds it; returns what it said before. */
  public Optional<V> put(String key, V value) {
    lapsedUntilNanos.remove(key);
    return Optional.ofNullable(values.put(key, value));
  }

  /**
   * Takes note that the store lacks an entry.
   *
   * @param announced whether its end had been announced, so that it cannot merely have lapsed
   */
  public void remove(String key, boolean announced) {
    if (!values.containsKey(key)) {
      return;
    }
    if (!announced && nanoTime.getAsLong() < uncertainUntilNanos) {
      lapsedUntilNanos.putIfAbsent(key, uncertainUntilNanos);
    } else {
      drop(key);
    }
  }

  /** Returns the keys that are known but missing in a whole reading of the store. */
  public List<String> missingIn(Set<String> present) {
    List<String> missing = new ArrayList<>(values.keySet());
    missing.removeAll(present);
    return missing;
  }

  /** Drops the lapsed entries whose grace period has ended. */
  public void expire() {
    long now = nanoTime.getAsLong();
    List<String> ended = new ArrayList<>();
    lapsedUntilNanos.forEach(
        (key, until) -> {
          if (until <= now) {
            ended.add(key);
          }
        });
    ended.forEach(this::drop);
  }

  /** Returns an entry. */
  public Optional<V> find(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns the number of entries, lapsed ones included. */
  public int size() {
    return values.size();
  }

  /** Returns all entries, lapsed ones included. */
  public List<V> all() {
    return new ArrayList<>(values.values());
  }

  private void drop(String key) {
    lapsedUntilNanos.remove(key);
    V dropped = values.remove(key);
    if (dropped != null) {
      onDrop.accept(key, dropped);
    }
  }
}
