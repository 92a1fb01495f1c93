package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Notices that other routers have seen a change which has not arrived here, as when a call for
 * changes is lost without an error. Confined to one thread.
 */
public final class RevisionLag {

  private final long allowedNanos;
  private final LongSupplier nanoTime;
  private long missing;
  private long missingSinceNanos;

  /**
   * Creates a watch that has noticed nothing.
   *
   * @param allowed how long a change may arrive here after it has arrived elsewhere
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RevisionLag(Duration allowed, LongSupplier nanoTime) {
    this.allowedNanos = allowed.toNanos();
    this.nanoTime = nanoTime;
  }

  /**
   * Takes another router's word and returns whether to ask that router for what it knows. Once it
   * has returned true, it allows the same time again.
   *
   * @param seenThere the revision of the latest change that the other router has seen
   * @param knownHere the revision up to which all changes are known here
   */
  public boolean heard(long seenThere, long knownHere) {
    if (missing <= knownHere) {
      missing = 0;
    }
    if (seenThere <= knownHere) {
      return false;
    }
    long now = nanoTime.getAsLong();
    if (missing == 0) {
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
