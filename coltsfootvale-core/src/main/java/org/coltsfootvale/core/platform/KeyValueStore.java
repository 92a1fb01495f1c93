package org.coltsfootvale.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Every call counts against the service's rate limits; an open
 * watch counts as one call. A future fails with {@link PlatformException}, which indicates whether
 * a write may have taken effect.
 */
public interface KeyValueStore {

  /** The lease id of a write that is not bound to a lease. */
  long NO_LEASE = 0;

  /** Reads one key; empty if it does not exist. */
  CompletableFuture<Optional<KeyValue>> get(String key);

  /**
   * Reads keys with a prefix in ascending order.
   *
   * @param prefix the prefix of the keys
   * @param fromKey the first key to return, or the prefix itself to start with the first one
   * @param limit the maximum number of values to return, at least 1
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
   * @return the new revision, or empty if the revision differs
   */
  CompletableFuture<OptionalLong> compareAndSwap(
      String key, byte[] value, long expectedModRevision, long leaseId);

  /** Deletes a key if its last write has the given revision; returns whether it did. */
  CompletableFuture<Boolean> delete(String key, long expectedModRevision);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(Duration timeToLive);

  /** Renews a lease; returns the granted time to live, or zero if the lease has expired. */
  CompletableFuture<Duration> keepLeaseAlive(long leaseId);

  /** Revokes a lease and deletes the keys that are bound to it. */
  CompletableFuture<Void> revokeLease(long leaseId);

  /**
   * Watches keys with a prefix from a store revision on. The listener is called by one thread at a
   * time and must not block.
   */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  /** An open watch. */
  interface Watch extends AutoCloseable {

    /** Ends the watch; no event is delivered afterwards. */
    @Override
    void close();
  }

  /** Receives the events of a watch. */
  interface WatchListener {

    /** Called when a key was written. */
    void onPut(KeyValue value);

    /** Called when the watch has ended; it must be reopened from the last revision received. */
    void onEnd(PlatformException cause);
  }
}
