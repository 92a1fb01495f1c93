package org.coltsfootvale.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/** One shard of the stored keys; callers must hold its monitor. */
final class KeyShard {

  private static final Duration RUNNING_EXTENSION = Duration.ofMinutes(1);

  private final int keysMax;
  private final long storedBytesMax;
  private final Map<KeyEntry.Id, KeyEntry> entries = new HashMap<>();
  private final PriorityQueue<KeyEntry> byExpiry =
      new PriorityQueue<>(Comparator.comparing((KeyEntry entry) -> entry.expiresAt));
  private long storedBytes;
  private Instant latestTime = Instant.MIN;

  KeyShard(int keysMax, long storedBytesMax) {
    this.keysMax = keysMax;
    this.storedBytesMax = storedBytesMax;
  }

  /**
   * Evicts expired entries and returns the shard's time, which never decreases even if the wall
   * clock does.
   */
  Instant advance(Instant now) {
    if (now.isAfter(latestTime)) {
      latestTime = now;
    }
    evictExpired();
    return latestTime;
  }

  @Nullable KeyEntry find(KeyEntry.Id id) {
    return entries.get(id);
  }

  boolean isFull() {
    return entries.size() >= keysMax;
  }

  int size() {
    return entries.size();
  }

  void add(KeyEntry entry) {
    entries.put(entry.id, entry);
    byExpiry.add(entry);
  }

  void remove(KeyEntry entry) {
    if (entries.remove(entry.id, entry)) {
      byExpiry.remove(entry);
      storedBytes -= entry.storedBytes;
    }
  }

  void extend(KeyEntry entry, Instant expiresAt) {
    byExpiry.remove(entry);
    entry.expiresAt = expiresAt;
    byExpiry.add(entry);
  }

  /** Reserves memory for a stored answer; returns false if there is not enough left. */
  boolean reserve(KeyEntry entry, int bytes) {
    if (storedBytes + bytes > storedBytesMax) {
      return false;
    }
    storedBytes += bytes;
    entry.storedBytes = bytes;
    return true;
  }

  private void evictExpired() {
    KeyEntry earliest = byExpiry.peek();
    while (earliest != null && !earliest.expiresAt.isAfter(latestTime)) {
      if (earliest.evictable()) {
        remove(earliest);
      } else {
        extend(earliest, latestTime.plus(RUNNING_EXTENSION));
      }
      earliest = byExpiry.peek();
    }
  }
}
