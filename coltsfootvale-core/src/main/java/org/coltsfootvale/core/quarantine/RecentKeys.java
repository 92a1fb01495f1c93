package org.coltsfootvale.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Keys that are repeated in updates for a while, so that a lost message does no harm. Confined to
 * one thread.
 */
final class RecentKeys<K> {

  private static final Duration REPEAT_PERIOD = Duration.ofSeconds(1);

  private final Map<K, Long> addedNanos = new HashMap<>();
  private final LongSupplier nanoTime;

  RecentKeys(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  void add(K key) {
    addedNanos.put(key, nanoTime.getAsLong());
  }

  Set<K> keys() {
    if (!addedNanos.isEmpty()) {
      long oldest = nanoTime.getAsLong() - REPEAT_PERIOD.toNanos();
      addedNanos.values().removeIf(nanos -> nanos - oldest < 0);
    }
    return Set.copyOf(addedNanos.keySet());
  }
}
