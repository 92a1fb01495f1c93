package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Notices that other routers have seen something later which has not arrived here, as when a call
 * for changes is lost without an error. Confined to one thread.
 *
 * @param <P> what tells later from earlier, such as a position of the store or a version
 */
public final class RevisionLagDetector<P extends Comparable<P>> {

  private final long allowedNanos;
  private final LongSupplier nanoTime;
  private @Nullable P missing;
  private long missingSinceNanos;

  /**
   * Creates a watch that has noticed nothing.
   *
   * @param allowed how long a change may arrive here after it has arrived elsewhere
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RevisionLagDetector(Duration allowed, LongSupplier nanoTime) {
    this.allowedNanos = allowed.toNanos();
    this.nanoTime = nanoTime;
  }

  /**
   * Takes another router's word and returns whether to ask that router for what it knows. Once it
   * has returned true, it allows the same time again.
   *
   * @param seenThere the latest that the other router has seen
   * @param knownHere up to where all is known here
   */
  public boolean observe(P seenThere, P knownHere) {
    if (missing != null && missing.compareTo(knownHere) <= 0) {
      missing = null;
    }
    if (seenThere.compareTo(knownHere) <= 0) {
      return false;
    }
    long now = nanoTime.getAsLong();
    if (missing == null) {
      missing = seenThere;
      missingSinceNanos = now;
      return false;
    }
    if (now - missingSinceNanos < allowedNanos) {
      return false;
    }
    missingSinceNanos = now;
    return true;
  }
}
