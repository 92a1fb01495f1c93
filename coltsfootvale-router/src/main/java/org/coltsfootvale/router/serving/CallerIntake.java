package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides when a router that has just started accepts the callers which have connected meanwhile. A
 * caller that is refused, or told to come back, has often used up its only second try; so they wait
 * for what the router needs to serve them, but not for long. Confined to the serving loop.
 */
final class CallerIntake {

  /** How long callers wait to be accepted at most; those after it are told when to come back. */
  private static final Duration WAIT_MAX = Duration.ofMillis(600);

  private final boolean socketOpen;
  private final Runnable accept;
  private final BooleanSupplier informed;
  private final LongSupplier nanoTime;
  private long startedNanos;
  private boolean accepting;

  /**
   * Creates an intake that accepts nobody yet.
   *
   * @param socketOpen whether callers can connect before they are accepted
   * @param accept begins to accept
   * @param informed whether the router knows what it needs to serve callers
   * @param nanoTime the monotonic clock in nanoseconds
   */
  CallerIntake(
      boolean socketOpen, Runnable accept, BooleanSupplier informed, LongSupplier nanoTime) {
    this.socketOpen = socketOpen;
    this.accept = accept;
    this.informed = informed;
    this.nanoTime = nanoTime;
  }

  /** Begins the wait; callers that cannot connect before are accepted at once. */
  void start() {
    startedNanos = nanoTime.getAsLong();
    if (!socketOpen) {
      accept();
    }
  }

  /** Accepts callers if it is time to; to be called again and again after the start. */
  void check() {
    boolean waitedLong = nanoTime.getAsLong() - startedNanos >= WAIT_MAX.toNanos();
    if (!accepting && (informed.getAsBoolean() || waitedLong)) {
      accept();
    }
  }

  private void accept() {
    accepting = true;
    accept.run();
  }
}
