package org.coltsfootvale.core.release;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;

/** A store with one safeguard of the release log disabled. */
record WeakenedStore(KeyValueStore store, Weakness weakness) implements KeyValueStore {

  /** The disabled safeguard. */
  enum Weakness {
    NONE,
    /** Creating a key overwrites an existing one. */
    CREATE_OVERWRITES,
    /** The stored horizon is never returned. */
    HORIZON_HIDDEN
  }

  @Override
  public CompletableFuture<Optional<KeyValue>> get(String key) {
    if (weakness == Weakness.HORIZON_HIDDEN && key.equals(NoteKeys.HORIZON)) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return store.get(key);
  }

  @Override
  public CompletableFuture<List<KeyValue>> list(String prefix, String fromKey, int limit) {
    return store.list(prefix, fromKey, limit);
  }

  @Override
  public CompletableFuture<OptionalLong> createIfAbsent(String key, byte[] value, long leaseId) {
    if (weakness != Weakness.CREATE_OVERWRITES) {
      return store.createIfAbsent(key, value, leaseId);
    }
    return store
        .createIfAbsent(key, value, leaseId)
        .thenCompose(
            created ->
                created.isPresent()
                    ? CompletableFuture.completedFuture(created)
                    : overwrite(key, value, leaseId));
  }

  private CompletableFuture<OptionalLong> overwrite(String key, byte[] value, long leaseId) {
    return store
        .get(key)
        .thenCompose(
            found -> store.compareAndSwap(key, value, found.orElseThrow().modRevision(), leaseId));
  }

  @Override
  public CompletableFuture<OptionalLong> compareAndSwap(
      String key, byte[] value, long expectedModRevision, long leaseId) {
    return store.compareAndSwap(key, value, expectedModRevision, leaseId);
  }

  @Override
  public CompletableFuture<Boolean> delete(String key, long expectedModRevision) {
    return store.delete(key, expectedModRevision);
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return store.grantLease(timeToLive);
  }

  @Override
  public CompletableFuture<Duration> keepLeaseAlive(long leaseId) {
    return store.keepLeaseAlive(leaseId);
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return store.revokeLease(leaseId);
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    return store.watch(prefix, fromRevision, listener);
  }
}
