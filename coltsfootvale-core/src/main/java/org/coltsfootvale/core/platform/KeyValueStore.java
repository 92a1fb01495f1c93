package org.coltsfootvale.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Every call counts against the service's rates, a waiting watch
 * as one call. A future fails with {@link PlatformException}; its flag tells whether a write may
 * have taken effect.
 */
public interface KeyValueStore {

  /** The lease argument of a write that is bound to no lease. */
  long NO_LEASE = 0;

  /** Reads one key; empty if it does not exist. */
  CompletableFuture<Optional<KeyValue>> get(String key);

  /**
   * Reads keys with a prefix in ascending order.
   *
   * @param prefix the prefix of the keys
   * @param fromKey the first key to return, or the prefix itself to start at the beginning
   * @param limit the greatest number of values to return, at least 1
   */
  CompletableFuture<List<KeyValue>> list(String prefix, String fromKey, int limit);

  /**
   * Creates a key unless it exists.
   *
   * @return the creation revision, or empty if the key exists already
   */
  CompletableFuture<OptionalLong> createIfAbsent(String key, byte[] value, long leaseId);

  /**
   * Replaces a value if its last write has the given revision.
   *
   * @return the new revision, or empty if another write came between
   */
  CompletableFuture<OptionalLong> compareAndSwap(
      String key, byte[] value, long expectedModRevision, long leaseId);

  /** Deletes a key if its last write has the given revision; returns whether it did. */
  CompletableFuture<Boolean> delete(String key, long expectedModRevision);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(Duration timeToLive);

  /** Renews a lease; returns the granted time to live, or zero if the lease has lapsed. */
  CompletableFuture<Duration> keepLeaseAlive(long leaseId);

  /** Revokes a lease and deletes the keys that are bound to it. */
  CompletableFuture<Void> revokeLease(long leaseId);

  /**
   * Watches keys with a prefix from a store revision on. The listener is called from one thread at
   * a time and never blocks.
   */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  /** An open watch. */
  interface Watch extends AutoCloseable {

    /** Ends the watch; no event arrives afterwards. */
    @Override
    void close();
  }

  /** Receives the events of a watch. */
  interface WatchListener {

    /** Tells of a written key. */
    void onPut(KeyValue value);

    /** Tells that the watch has ended and must be opened anew, from the last revision seen. */
    void onEnd(PlatformException cause);
  }
}
