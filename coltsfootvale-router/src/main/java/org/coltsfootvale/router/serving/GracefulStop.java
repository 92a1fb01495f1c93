package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.router.http.ServingLoop;

/**
 * Ends the service for callers: they are directed to other routers at once, those that hold an old
 * answer are served until it has expired, and requests in progress are completed.
 */
final class GracefulStop {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  /** How many times its time to live callers may keep an answer. */
  private static final int ANSWER_LIFETIMES = 3;

  private static final Duration STOP_MARGIN = Duration.ofMillis(300);

  private final ServingLoop loop;
  private final ServingState state;
  private final Runnable closeListener;
  private final LongSupplier nanoTime;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private long begunNanos;

  /**
   * Creates a stop that has not begun.
   *
   * @param closeListener stops to accept requests of callers
   */
  GracefulStop(
      ServingLoop loop, ServingState state, Runnable closeListener, LongSupplier nanoTime) {
    this.loop = loop;
    this.state = state;
    this.closeListener = closeListener;
    this.nanoTime = nanoTime;
  }

  /** Begins to stop; to be called on the serving loop. */
  void begin() {
    begunNanos = nanoTime.getAsLong();
    state.drain();
    poll();
  }

  private void poll() {
    Duration answersLive =
        EntryPoints.TIME_TO_LIVE.multipliedBy(ANSWER_LIFETIMES).plus(STOP_MARGIN);
    boolean answersExpired = nanoTime.getAsLong() - begunNanos >= answersLive.toNanos();
    if (answersExpired) {
      // No caller is directed here any more; a request accepted now might not be completed in time.
      closeListener.run();
    }
    if (answersExpired && state.active() == 0) {
      stopped.countDown();
    } else {
      loop.schedule(POLL_INTERVAL, this::poll);
    }
  }

  /** Waits for the end of all requests; returns whether it came within the time allowed. */
  boolean await(Duration timeout) {
    try {
      return stopped.await(timeout.minus(STOP_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
