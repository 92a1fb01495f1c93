package org.coltsfootvale.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/** One shard of the key memory; callers hold its monitor. */
final class KeyShard {

  private static final Duration RUNNING_EXTENSION = Duration.ofMinutes(1);

  private final int keysMax;
  private final long storedBytesMax;
  private final Map<KeyEntry.Id, KeyEntry> entries = new HashMap<>();
  private final PriorityQueue<KeyEntry> byExpiry =
      new PriorityQueue<>(Comparator.comparing((KeyEntry entry) -> entry.expiresAt));
  private long storedBytes;
  private Instant latest = Instant.MIN;

  KeyShard(int keysMax, long storedBytesMax) {
    this.keysMax = keysMax;
    this.storedBytesMax = storedBytesMax;
  }

  /** Returns the time, which never goes back here although the wall clock may. */
  Instant advance(Instant now) {
    if (now.isAfter(latest)) {
      latest = now;
    }
    forgetExpired();
    return latest;
  }

  @Nullable KeyEntry find(KeyEntry.Id id) {
    return entries.get(id);
  }

  boolean full() {
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

  /** Reserves room for a stored answer; returns whether there was any. */
  boolean reserve(KeyEntry entry, int bytes) {
    if (storedBytes + bytes > storedBytesMax) {
      return false;
    }
    storedBytes += bytes;
    entry.storedBytes = bytes;
    return true;
  }

  private void forgetExpired() {
    KeyEntry oldest = byExpiry.peek();
    while (oldest != null && !oldest.expiresAt.isAfter(latest)) {
      if (oldest.forgettable()) {
        remove(oldest);
      } else {
        extend(oldest, latest.plus(RUNNING_EXTENSION));
      }
      oldest = byExpiry.peek();
    }
  }
}
