package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.course.DrainAdmission;
import org.coltsfootvale.router.http.ServingLoop;

/**
 * Ends the service for callers: they are directed to other routers at once, those that hold an old
 * answer are served until it has expired, and requests in progress are completed. The stop ends
 * when all connections of callers are closed, so that no answer is still on its way.
 */
final class GracefulStop {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  /** How many times its time to live callers may keep an answer. */
  private static final int ANSWER_LIFETIMES = 3;

  private static final Duration STOP_MARGIN = Duration.ofMillis(300);

  /**
   * Covers the time from the signal to the request of the stop, which exceeds a second on a busy
   * host: by the caller's clock, the request is that much later.
   */
  private static final Duration SIGNAL_DELAY_MAX = Duration.ofMillis(1_500);

  /** How long before the end requests in progress get their final answer. */
  private static final Duration FINAL_ANSWERS = Duration.ofMillis(200);

  private final ServingLoop loop;
  private final ServingState state;
  private final CallerListener callers;
  private final LongSupplier nanoTime;
  private final Duration timeLimit;
  private final DrainAdmission admission;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private long begunNanos;
  private boolean requestsEnded;

  /**
   * Creates a stop that has not begun.
   *
   * @param callers accepts the connections of callers
   * @param stopTimeout the time after which the process is killed
   */
  GracefulStop(
      ServingLoop loop,
      ServingState state,
      CallerListener callers,
      Duration stopTimeout,
      LongSupplier nanoTime) {
    this.loop = loop;
    this.state = state;
    this.callers = callers;
    this.nanoTime = nanoTime;
    this.timeLimit = stopTimeout.minus(STOP_MARGIN);
    this.admission =
        new DrainAdmission(answersLive().minus(SIGNAL_DELAY_MAX), timeLimit.minus(FINAL_ANSWERS));
  }

  private static Duration answersLive() {
    return EntryPoints.TIME_TO_LIVE.multipliedBy(ANSWER_LIFETIMES);
  }

  /**
   * Begins to stop; to be called on the serving loop.
   *
   * @param requestedNanos when the stop was requested; a busy loop begins later
   */
  void begin(long requestedNanos) {
    begunNanos = requestedNanos;
    state.drain(timeLeft -> admission.accepts(sinceBegin(), timeLeft));
    poll();
  }

  private Duration sinceBegin() {
    return Duration.ofNanos(nanoTime.getAsLong() - begunNanos);
  }

  private void poll() {
    boolean answersExpired = sinceBegin().compareTo(answersLive().plus(STOP_MARGIN)) >= 0;
    if (answersExpired) {
      // No caller is directed here any more.
      callers.stop();
    }
    if (!requestsEnded && sinceBegin().compareTo(timeLimit.minus(FINAL_ANSWERS)) >= 0) {
      requestsEnded = true;
      callers.endRequests();
    }
    if (answersExpired && callers.connections() == 0) {
      stopped.countDown();
    } else {
      loop.schedule(POLL_INTERVAL, this::poll);
    }
  }

  /**
   * Waits for the end of all connections; returns whether it came within the time allowed.
   *
   * @param requestedNanos when the stop was requested
   */
  boolean await(long requestedNanos) {
    long leftNanos = requestedNanos + timeLimit.toNanos() - nanoTime.getAsLong();
    try {
      return stopped.await(leftNanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
