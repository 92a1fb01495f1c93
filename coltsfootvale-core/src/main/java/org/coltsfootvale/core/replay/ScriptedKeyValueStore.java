package org.coltsfootvale.core.replay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory key-value store with scripted faults and time: outages, replies lost after the
 * write, held calls and expiring leases. Counts calls by kind. Only single calls are thread-safe.
 */
public final class ScriptedKeyValueStore implements KeyValueStore {

  private final TreeMap<String, Stored> values = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<OpenWatch> watches = new ArrayList<>();
  private final Map<Call, Integer> calls = new EnumMap<>(Call.class);
  private final Queue<Runnable> held = new ArrayDeque<>();
  private Fault fault = Fault.NONE;
  private final Map<Call, Integer> lostReplies = new EnumMap<>(Call.class);
  private long revision;
  private long lastLease;
  private long nowNanos;

  /** Creates an empty store. */
  public ScriptedKeyValueStore() {}

  /** Sets the fault that affects all calls from now on. */
  public synchronized void setFault(Fault value) {
    fault = value;
  }

  /** Loses the replies of the next calls of a kind; the calls take effect nevertheless. */
  public synchronized void loseReplies(Call call, int count) {
    lostReplies.put(call, count);
  }

  /** Performs the held calls in order. */
  public void releaseHeld() {
    boolean more = true;
    while (more) {
      more = releaseNext();
    }
  }

  /** Performs the oldest held call; returns false if there is none. */
  public boolean releaseNext() {
    Runnable next;
    synchronized (this) {
      next = held.poll();
    }
    if (next == null) {
      return false;
    }
    next.run();
    return true;
  }

  /** Advances the store's time and removes expired leases with their keys. */
  public synchronized void advance(Duration duration) {
    nowNanos += duration.toNanos();
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (lease.endsAtNanos <= nowNanos) {
            expired.add(id);
          }
        });
    expired.forEach(this::removeLease);
  }

  /** Returns the number of calls of a kind. */
  public synchronized int calls(Call call) {
    return calls.getOrDefault(call, 0);
  }

  /** Returns the keys with a prefix. */
  public synchronized List<String> keys(String prefix) {
    return values.tailMap(prefix).keySet().stream()
        .takeWhile(key -> key.startsWith(prefix))
        .toList();
  }

  @Override
  public CompletableFuture<Optional<KeyValue>> get(String key) {
    return perform(Call.GET, () -> Optional.ofNullable(values.get(key)).map(Stored::value));
  }

  @Override
  public CompletableFuture<List<KeyValue>> list(String prefix, String fromKey, int limit) {
    String start = fromKey.compareTo(prefix) < 0 ? prefix : fromKey;
    return perform(
        Call.LIST,
        () ->
            values.tailMap(start).values().stream()
                .map(Stored::value)
                .takeWhile(value -> value.key().startsWith(prefix))
                .limit(limit)
                .toList());
  }

  @Override
  public CompletableFuture<OptionalLong> createIfAbsent(String key, byte[] value, long leaseId) {
    return perform(
        Call.CREATE,
        () -> values.containsKey(key) ? OptionalLong.empty() : put(key, value, null, leaseId));
  }

  @Override
  public CompletableFuture<OptionalLong> compareAndSwap(
      String key, byte[] value, long expectedModRevision, long leaseId) {
    return perform(
        Call.SWAP,
        () -> {
          Stored stored = values.get(key);
          if (stored == null || stored.value.modRevision() != expectedModRevision) {
            return OptionalLong.empty();
          }
          return put(key, value, stored.value, leaseId);
        });
  }

  @Override
  public CompletableFuture<Boolean> delete(String key, long expectedModRevision) {
    return perform(
        Call.DELETE,
        () -> {
          Stored stored = values.get(key);
          if (stored == null || stored.value.modRevision() != expectedModRevision) {
            return false;
          }
          revision++;
          values.remove(key);
          return true;
        });
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return perform(
        Call.GRANT_LEASE,
        () -> {
          leases.put(++lastLease, new Lease(timeToLive, nowNanos + timeToLive.toNanos()));
          return lastLease;
        });
  }

  @Override
  public CompletableFuture<Duration> keepLeaseAlive(long leaseId) {
    return perform(
        Call.KEEP_LEASE_ALIVE,
        () -> {
          Lease lease = leases.get(leaseId);
          if (lease == null) {
            return Duration.ZERO;
          }
          lease.endsAtNanos = nowNanos + lease.timeToLive.toNanos();
          return lease.timeToLive;
        });
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return perform(
            Call.REVOKE_LEASE,
            () -> {
              removeLease(leaseId);
              return true;
            })
        .thenAccept(done -> {});
  }

  @Override
  public synchronized Watch watch(String prefix, long fromRevision, WatchListener listener) {
    count(Call.WATCH);
    OpenWatch watch = new OpenWatch(prefix, listener);
    watches.add(watch);
    values.values().stream()
        .map(Stored::value)
        .filter(value -> value.key().startsWith(prefix) && value.modRevision() >= fromRevision)
        .forEach(listener::onPut);
    return () -> {
      synchronized (this) {
        watches.remove(watch);
      }
    };
  }

  private <T> CompletableFuture<T> perform(Call call, Supplier<T> action) {
    CompletableFuture<T> future = new CompletableFuture<>();
    Runnable completion;
    synchronized (this) {
      count(call);
      switch (fault) {
        case OUTAGE -> {
          return CompletableFuture.failedFuture(
              new PlatformException("the service is down", false, null));
        }
        case HOLD_CALLS -> {
          held.add(() -> execute(call, action, future).run());
          return future;
        }
        case HOLD_REPLIES -> {
          held.add(execute(call, action, future));
          return future;
        }
        default -> completion = execute(call, action, future);
      }
    }
    completion.run();
    return future;
  }

  private synchronized <T> Runnable execute(
      Call call, Supplier<T> action, CompletableFuture<T> future) {
    T result;
    try {
      result = action.get();
    } catch (PlatformException e) {
      return () -> future.completeExceptionally(e);
    }
    int toLose = lostReplies.getOrDefault(call, 0);
    if (toLose > 0) {
      lostReplies.put(call, toLose - 1);
      return () ->
          future.completeExceptionally(
              new PlatformException("the reply was lost", call.write, null));
    }
    return () -> future.complete(result);
  }

  private OptionalLong put(String key, byte[] value, @Nullable KeyValue before, long leaseId) {
    Lease lease = leases.get(leaseId);
    if (leaseId != NO_LEASE && lease == null) {
      throw new PlatformException("the lease has expired", false, null);
    }
    revision++;
    long created = before == null ? revision : before.createRevision();
    KeyValue written = new KeyValue(key, value.clone(), created, revision);
    values.put(key, new Stored(written, leaseId));
    watches.stream()
        .filter(watch -> key.startsWith(watch.prefix))
        .toList()
        .forEach(watch -> watch.listener.onPut(written));
    return OptionalLong.of(revision);
  }

  private void removeLease(long leaseId) {
    leases.remove(leaseId);
    if (values.values().removeIf(stored -> stored.leaseId == leaseId && leaseId != NO_LEASE)) {
      revision++;
    }
  }

  private void count(Call call) {
    calls.merge(call, 1, Integer::sum);
  }

  /** The fault that affects all calls. */
  public enum Fault {
    /** Calls complete immediately. */
    NONE,
    /** Calls fail without effect. */
    OUTAGE,
    /** Calls wait and take effect when they are released. */
    HOLD_CALLS,
    /** Calls take effect immediately, but their replies wait. */
    HOLD_REPLIES
  }

  /** The kinds of call. */
  public enum Call {
    GET(false),
    LIST(false),
    CREATE(true),
    SWAP(true),
    DELETE(true),
    GRANT_LEASE(true),
    KEEP_LEASE_ALIVE(true),
    REVOKE_LEASE(true),
    WATCH(false);

    private final boolean write;

    Call(boolean write) {
      this.write = write;
    }
  }

  private record Stored(KeyValue value, long leaseId) {}

  private record OpenWatch(String prefix, WatchListener listener) {}

  /** A lease and its end in the store's time. */
  private static final class Lease {

    private final Duration timeToLive;
    private long endsAtNanos;

    Lease(Duration timeToLive, long endsAtNanos) {
      this.timeToLive = timeToLive;
      this.endsAtNanos = endsAtNanos;
    }
  }
}
