package org.coltsfootvale.router.serving;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.overload.CallerCharge;

/** Pauses a connection that decodes many parts of a request in one read. */
final class PacedReader {

  /** Ordinary requests have a handful of parts in one read. */
  private static final int PARTS_PER_READ_MAX = 256;

  private final ReadPacing pacing;
  private final CallerCharge charge;
  private final LongSupplier nanoTime;
  private final LongConsumer onResumed;
  private int partsInRead;
  private boolean paused;
  private long pausedSinceNanos;

  /**
   * Creates a reader that is not paused.
   *
   * @param pacing decides whose turn it is
   * @param onResumed receives the length of a pause in nanoseconds when it has ended
   */
  PacedReader(
      ReadPacing pacing, CallerCharge charge, LongSupplier nanoTime, LongConsumer onResumed) {
    this.pacing = pacing;
    this.charge = charge;
    this.nanoTime = nanoTime;
    this.onResumed = onResumed;
  }

  /** Counts a decoded part; returns whether the connection was paused for it. */
  boolean pausesAt() {
    if (++partsInRead <= PARTS_PER_READ_MAX || paused) {
      return false;
    }
    paused = true;
    pausedSinceNanos = nanoTime.getAsLong();
    charge.onPaused(pausedSinceNanos);
    pacing.add(this);
    return true;
  }

  void onReadComplete() {
    partsInRead = 0;
  }

  boolean paused() {
    return paused;
  }

  /** Ends the pause when it is the turn of this connection. */
  void resume() {
    long now = nanoTime.getAsLong();
    paused = false;
    charge.onResumed(now);
    onResumed.accept(now - pausedSinceNanos);
  }
}
