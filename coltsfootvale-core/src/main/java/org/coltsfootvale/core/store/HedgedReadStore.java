package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A store that hedges reads: an unanswered read is sent a second time, and the first answer is
 * used. An answer may be lost, or the store may have recovered without answering earlier calls.
 * Confined to one thread.
 */
public final class HedgedReadStore implements RevisionedStore {

  /**
   * The time after which an unanswered read is sent again. The store answers within milliseconds,
   * or in about 250 ms when it is slow.
   */
  static final Duration HEDGE_DELAY = Duration.ofMillis(350);

  private final RevisionedStore store;
  private final Scheduler scheduler;

  /**
   * Creates a store.
   *
   * @param store the store that is called
   * @param scheduler schedules the second call
   */
  public HedgedReadStore(RevisionedStore store, Scheduler scheduler) {
    this.store = store;
    this.scheduler = scheduler;
  }

  @Override
  public CompletableFuture<StorePage> read(String prefix, String afterKey) {
    HedgedRead read = new HedgedRead(prefix, afterKey);
    read.send();
    scheduler.schedule(HEDGE_DELAY, read::sendHedge);
    return read.result;
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

  /** One read and the calls made for it. */
  private final class HedgedRead {

    private final CompletableFuture<StorePage> result = new CompletableFuture<>();
    private final String prefix;
    private final String afterKey;
    private int pendingCalls;

    HedgedRead(String prefix, String afterKey) {
      this.prefix = prefix;
      this.afterKey = afterKey;
    }

    void send() {
      pendingCalls++;
      var unused =
          store
              .read(prefix, afterKey)
              .whenComplete(
                  (page, failure) -> {
                    pendingCalls--;
                    if (failure == null) {
                      result.complete(page);
                    } else if (pendingCalls == 0) {
                      result.completeExceptionally(failure);
                    }
                  });
    }

    void sendHedge() {
      if (!result.isDone()) {
        send();
      }
    }
  }
}
