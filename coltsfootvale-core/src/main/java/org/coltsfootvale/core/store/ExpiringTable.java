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
 * Store entries that are bound to renewable leases. An entry that disappears around an outage of
 * the store is kept for a grace period, because expired entries are written again shortly after the
 * store recovers. Confined to one thread.
 *
 * @param <V> the type of the values
 */
public final class ExpiringTable<V> {

  private final Duration grace;
  private final LongSupplier nanoTime;
  private final BiConsumer<String, V> onDrop;
  private final Map<String, V> values = new HashMap<>();
  private final Map<String, Long> retainedUntilNanos = new HashMap<>();
  private long graceEndNanos;

  /**
   * Creates an empty table.
   *
   * @param grace how long after the store has recovered an expired entry may still be written again
   * @param nanoTime the monotonic clock in nanoseconds
   * @param onDrop receives the key and the last value of each removed entry
   */
  public ExpiringTable(Duration grace, LongSupplier nanoTime, BiConsumer<String, V> onDrop) {
    this.grace = grace;
    this.nanoTime = nanoTime;
    this.onDrop = onDrop;
    this.graceEndNanos = nanoTime.getAsLong();
  }

  /** Starts the grace period after an outage in which entries may have expired. */
  public void onStoreRecovered() {
    graceEndNanos = nanoTime.getAsLong() + grace.toNanos();
    retainedUntilNanos.replaceAll((key, until) -> graceEndNanos);
  }

  /** Puts an entry and returns its previous value. */
  public Optional<V> put(String key, V value) {
    retainedUntilNanos.remove(key);
    return Optional.ofNullable(values.put(key, value));
  }

  /**
   * Removes an entry, or keeps it for the grace period.
   *
   * @param announced whether its removal was announced, so that it has not merely expired
   */
  public void remove(String key, boolean announced) {
    if (!values.containsKey(key)) {
      return;
    }
    if (!announced && nanoTime.getAsLong() < graceEndNanos) {
      retainedUntilNanos.putIfAbsent(key, graceEndNanos);
    } else {
      drop(key);
    }
  }

  /** Returns the keys held that are missing from a full read of the store. */
  public List<String> missingIn(Set<String> present) {
    List<String> missing = new ArrayList<>(values.keySet());
    missing.removeAll(present);
    return missing;
  }

  /** Removes the expired entries whose grace period has ended. */
  public void expire() {
    long now = nanoTime.getAsLong();
    List<String> ended = new ArrayList<>();
    retainedUntilNanos.forEach(
        (key, until) -> {
          if (until <= now) {
            ended.add(key);
          }
        });
    ended.forEach(this::drop);
  }

  /** Returns the value of a key. */
  public Optional<V> find(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns the number of entries, expired ones included. */
  public int size() {
    return values.size();
  }

  /** Returns all values, expired ones included. */
  public List<V> all() {
    return new ArrayList<>(values.values());
  }

  private void drop(String key) {
    retainedUntilNanos.remove(key);
    V dropped = values.remove(key);
    if (dropped != null) {
      onDrop.accept(key, dropped);
    }
  }
}
