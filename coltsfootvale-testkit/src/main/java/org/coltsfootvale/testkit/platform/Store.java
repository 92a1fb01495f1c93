package org.coltsfootvale.testkit.platform;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The values, leases and recent changes of the key-value service. Keys are ordered by their bytes
 * and held with one byte in each character. Thread-safe.
 */
final class Store {

  /** The end that marks an unbounded range. */
  static final String NO_END = "\0";

  private static final int HISTORY_EVENTS_MAX = 100_000;

  private final InstantSource clock;
  private final Object lock = new Object();
  private final NavigableMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<StoreEvent> history = new ArrayDeque<>();
  private final List<Consumer<StoreEvent>> listeners = new ArrayList<>();
  private long revision = 1;
  private long compactedRevision;
  private long lastLeaseId;

  Store(InstantSource clock) {
    this.clock = clock;
  }

  /** Runs several operations atomically. */
  <T> T atomically(Supplier<T> operations) {
    synchronized (lock) {
      expireLeases();
      return operations.get();
    }
  }

  /** Returns the revision of the last write. */
  long revision() {
    synchronized (lock) {
      return revision;
    }
  }

  /** Returns the value of a key. */
  Optional<Entry> get(String key) {
    synchronized (lock) {
      expireLeases();
      return Optional.ofNullable(entries.get(key));
    }
  }

  /** Returns the values from a key (inclusive) to an end (exclusive). */
  List<Entry> range(String from, String end) {
    synchronized (lock) {
      expireLeases();
      NavigableMap<String, Entry> tail = entries.tailMap(from, true);
      boolean bounded = !end.equals(NO_END);
      if (bounded && end.compareTo(from) <= 0) {
        return List.of();
      }
      return List.copyOf(bounded ? tail.headMap(end, false).values() : tail.values());
    }
  }

  /**
   * Writes a value.
   *
   * @throws LeaseNotFoundException if the lease does not exist
   */
  void put(String key, byte[] value, long leaseId) {
    synchronized (lock) {
      expireLeases();
      if (leaseId != 0 && !leases.containsKey(leaseId)) {
        throw new LeaseNotFoundException(leaseId);
      }
      revision++;
      Entry before = entries.get(key);
      long created = before == null ? revision : before.createRevision();
      long version = before == null ? 1 : before.version() + 1;
      Entry entry = new Entry(key, value, created, revision, version, leaseId);
      entries.put(key, entry);
      publish(new StoreEvent(entry, false));
    }
  }

  /** Deletes the values from a key (inclusive) to an end (exclusive) and returns their number. */
  int delete(String from, String end) {
    synchronized (lock) {
      List<Entry> found = range(from, end);
      remove(found);
      return found.size();
    }
  }

  /** Grants a lease and returns its id. */
  long grant(long timeToLiveSeconds, long requestedId) {
    synchronized (lock) {
      long id = requestedId == 0 ? ++lastLeaseId : requestedId;
      Instant expiresAt = clock.instant().plusSeconds(timeToLiveSeconds);
      leases.put(id, new Lease(timeToLiveSeconds, expiresAt));
      return id;
    }
  }

  /** Renews a lease and returns its time to live in seconds, or 0 if it has expired. */
  long keepAlive(long id) {
    synchronized (lock) {
      expireLeases();
      Lease lease = leases.get(id);
      if (lease == null) {
        return 0;
      }
      Instant expiresAt = clock.instant().plusSeconds(lease.timeToLiveSeconds());
      leases.put(id, new Lease(lease.timeToLiveSeconds(), expiresAt));
      return lease.timeToLiveSeconds();
    }
  }

  /**
   * Revokes a lease and deletes the keys attached to it.
   *
   * @throws LeaseNotFoundException if the lease does not exist
   */
  void revoke(long id) {
    synchronized (lock) {
      if (leases.remove(id) == null) {
        throw new LeaseNotFoundException(id);
      }
      removeBoundTo(id);
    }
  }

  /** Removes expired leases and the keys attached to them. */
  void expireLeases() {
    synchronized (lock) {
      Instant now = clock.instant();
      List<Long> expired = new ArrayList<>();
      leases.forEach(
          (id, lease) -> {
            if (!lease.expiresAt().isAfter(now)) {
              expired.add(id);
            }
          });
      for (Long id : expired) {
        leases.remove(id);
        removeBoundTo(id);
      }
    }
  }

  /**
   * Registers a listener for all changes from a revision on, or from the next one if it is 0; past
   * changes are delivered first.
   *
   * @return false, without registering the listener, if changes from that revision on have been
   *     discarded
   */
  boolean addListener(long fromRevision, Consumer<StoreEvent> listener) {
    synchronized (lock) {
      if (fromRevision > 0 && fromRevision <= compactedRevision) {
        return false;
      }
      long first = fromRevision == 0 ? revision + 1 : fromRevision;
      for (StoreEvent event : history) {
        if (event.entry().modRevision() >= first) {
          listener.accept(event);
        }
      }
      listeners.add(listener);
      return true;
    }
  }

  /** Removes a listener. */
  void removeListener(Consumer<StoreEvent> listener) {
    synchronized (lock) {
      listeners.remove(listener);
    }
  }

  private void removeBoundTo(long leaseId) {
    remove(entries.values().stream().filter(entry -> entry.leaseId() == leaseId).toList());
  }

  private void remove(List<Entry> removed) {
    if (removed.isEmpty()) {
      return;
    }
    revision++;
    for (Entry entry : removed) {
      entries.remove(entry.key());
      Entry tombstone = new Entry(entry.key(), new byte[0], 0, revision, 0, 0);
      publish(new StoreEvent(tombstone, true));
    }
  }

  private void publish(StoreEvent event) {
    history.addLast(event);
    if (history.size() > HISTORY_EVENTS_MAX) {
      compactedRevision = history.removeFirst().entry().modRevision();
    }
    for (Consumer<StoreEvent> listener : List.copyOf(listeners)) {
      listener.accept(event);
    }
  }

  private record Lease(long timeToLiveSeconds, Instant expiresAt) {}
}
