package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A store whose readings are sent a second time when the first call stays silent: an answer may be
 * lost, or the store may have come back meanwhile without answering what it was sent before.
 * Whichever call answers first counts. Confined to one thread.
 */
public final class HedgedReadStore implements RevisionedStore {

  /**
   * How long a reading may be silent before it is sent again. The store answers in milliseconds, in
   * about a quarter of a second when it is slow.
   */
  static final Duration PATIENCE = Duration.ofMillis(350);

  private final RevisionedStore store;
  private final Scheduler scheduler;

  /**
   * Creates a store.
   *
   * @param store takes the calls
   * @param scheduler runs the second call
   */
  public HedgedReadStore(RevisionedStore store, Scheduler scheduler) {
    this.store = store;
    this.scheduler = scheduler;
  }

  @Override
  public CompletableFuture<StorePage> read(String prefix, String afterKey) {
    Reading reading = new Reading(prefix, afterKey);
    reading.send();
    scheduler.schedule(PATIENCE, reading::sendAgain);
    return reading.result;
  }

  @Override
  public CompletableFuture<StoreChanges> awaitChanges(
      String prefix, long afterRevision, Duration wait) {
    return store.awaitChanges(prefix, afterRevision, wait);
  }

  @Override
  public CompletableFuture<Long> put(String key, byte[] value, long leaseId) {
    return store.put(key, value, leaseId);
  }

  @Override
  public StoreEra era() {
    return store.era();
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    return store.grantLease(timeToLive);
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return store.renewLease(leaseId);
  }

  @Override
  public CompletableFuture<Void> endLease(long leaseId) {
    return store.endLease(leaseId);
  }

  /** One reading and the calls made for it. */
  private final class Reading {

    private final CompletableFuture<StorePage> result = new CompletableFuture<>();
    private final String prefix;
    private final String afterKey;
    private int unanswered;

    Reading(String prefix, String afterKey) {
      this.prefix = prefix;
      this.afterKey = afterKey;
    }

    void send() {
      unanswered++;
      var unused =
          store
              .read(prefix, afterKey)
              .whenComplete(
                  (page, failure) -> {
                    unanswered--;
                    if (failure == null) {
                      result.complete(page);
                    } else if (unanswered == 0) {
                      result.completeExceptionally(failure);
                    }
                  });
    }

    void sendAgain() {
      if (!result.isDone()) {
        send();
      }
    }
  }
}
