package org.coltsfootvale.router.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;

/**
 * Counts the requests in progress and tells when a shutdown has finished them. New requests are
 * served also while it drains, for callers may still hold an entry answer that names this router.
 */
public final class Drain {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int inProgressMax;
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();

  /** Creates a drain that refuses more than the given number of requests at once. */
  public Drain(int inProgressMax) {
    this.inProgressMax = inProgressMax;
  }

  /** Begins to drain: from now on answers tell callers to ask for another entry host. */
  public void begin() {
    draining.set(true);
  }

  /** Tells whether {@link #begin()} has been called. */
  public boolean draining() {
    return draining.get();
  }

  /**
   * Refuses new requests from now on.
   *
   * @return completes when no request is in progress
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
   * Counts a request in; {@link #exit()} must follow exactly once.
   *
   * @throws ColtsfootvaleException OVERLOADED or SHUTTING_DOWN, not run; nothing is counted then
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

  /** Counts a request out. */
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
