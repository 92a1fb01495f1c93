package org.coltsfootvale.router.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;

/**
 * Counts the requests in progress and signals when all have ended during a shutdown. New requests
 * are served while draining, since callers may still hold an entry answer that names this router.
 */
public final class Drain {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int inProgressMax;
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();

  /** Creates a drain that refuses requests above the given number in progress. */
  public Drain(int inProgressMax) {
    this.inProgressMax = inProgressMax;
  }

  /** Starts draining: answers from now on request that callers query the entry addresses again. */
  public void begin() {
    draining.set(true);
  }

  /** Returns whether draining has started. */
  public boolean draining() {
    return draining.get();
  }

  /**
   * Refuses all new requests from now on.
   *
   * @return a future that completes when no request is in progress
   */
  public CompletableFuture<Void> close() {
    draining.set(true);
    closed.set(true);
    completeIfIdle();
    return finished.copy();
  }

  /** Returns how many requests are in progress. */
  public int inProgress() {
    return inProgress.get();
  }

  /**
   * Registers a request; {@link #exit()} must be called exactly once afterwards.
   *
   * @throws ColtsfootvaleException OVERLOADED or SHUTTING_DOWN, NOT_RUN; nothing is registered
   */
  public void enter() {
    int now = inProgress.incrementAndGet();
    if (closed.get()) {
      exit();
      throw ColtsfootvaleException.notRun(
          ErrorKind.SHUTTING_DOWN, "this router takes no new requests");
    }
    if (now > inProgressMax) {
      exit();
      throw ColtsfootvaleException.notRun(
          ErrorKind.OVERLOADED,
          "this router serves " + inProgressMax + " requests already",
          RETRY_AFTER);
    }
  }

  /** Removes a request that has ended. */
  public void exit() {
    inProgress.decrementAndGet();
    completeIfIdle();
  }

  private void completeIfIdle() {
    if (closed.get() && inProgress.get() == 0) {
      finished.complete(null);
    }
  }
}
