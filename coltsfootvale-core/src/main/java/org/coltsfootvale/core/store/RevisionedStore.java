package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The operations of the store that the serving path uses. Futures fail with {@link StoreException}
 * and complete on the thread that the store's client is confined to.
 */
public interface RevisionedStore {

  /** The lease id of a key that stays until it is overwritten. */
  long NO_LEASE = 0;

  /**
   * Reads one page of the keys with a prefix.
   *
   * @param prefix the prefix of the keys
   * @param afterKey the key after which the page begins, or an empty string for the first page
   */
  CompletableFuture<StorePage> read(String prefix, String afterKey);

  /**
   * Waits for changes of the keys with a prefix.
   *
   * @param prefix the prefix of the keys
   * @param afterRevision the revision after which changes are returned, within the latest era
   * @param wait the longest time to wait for a change
   */
  CompletableFuture<StoreChanges> awaitChanges(String prefix, long afterRevision, Duration wait);

  /**
   * Writes a key, whether it exists or not.
   *
   * @param leaseId the lease that the key is bound to, or {@link #NO_LEASE}
   * @return the revision of the write
   */
  CompletableFuture<Long> put(String key, byte[] value, long leaseId);

  /** Returns the era of the store, updated by each of its answers. */
  StoreEra era();

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(Duration timeToLive);

  /** Renews a lease. */
  CompletableFuture<Void> renewLease(long leaseId);

  /** Ends a lease and deletes its keys. */
  CompletableFuture<Void> endLease(long leaseId);
}
