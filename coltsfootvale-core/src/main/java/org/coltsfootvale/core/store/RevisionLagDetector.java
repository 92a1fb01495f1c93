package org.coltsfootvale.core.store;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Detects that this router stays behind its peers, as when a call for changes is lost without an
 * error. Confined to one thread.
 *
 * @param <P> the type of the positions, such as a store position or a version
 */
public final class RevisionLagDetector<P extends Comparable<P>> {

  private final long toleranceNanos;
  private final LongSupplier nanoTime;
  private @Nullable P pending;
  private long pendingSinceNanos;

  /**
   * Creates a detector without observations.
   *
   * @param tolerance how long a change may arrive here after it has arrived at a peer
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RevisionLagDetector(Duration tolerance, LongSupplier nanoTime) {
    this.toleranceNanos = tolerance.toNanos();
    this.nanoTime = nanoTime;
  }

  /**
   * Compares the position of a peer with the local one and returns whether to fetch the state of
   * that peer. After a result of true, the tolerance starts again.
   *
   * @param peerPosition the latest position that the peer has observed
   * @param localPosition the position up to which changes are applied here
   */
  public boolean observe(P peerPosition, P localPosition) {
    if (pending != null && pending.compareTo(localPosition) <= 0) {
      pending = null;
    }
    if (peerPosition.compareTo(localPosition) <= 0) {
      return false;
    }
    long now = nanoTime.getAsLong();
    if (pending == null) {
      pending = peerPosition;
      pendingSinceNanos = now;
      return false;
    }
    if (now - pendingSinceNanos < toleranceNanos) {
      return false;
    }
    pendingSinceNanos = now;
    return true;
  }
}
