package org.coltsfootvale.router.control;

import java.util.function.IntSupplier;
import org.coltsfootvale.core.membership.Membership;

/** Reports the load of this router to the membership. */
public final class OwnLoadReporter {

  private static final int FULL_LOAD = 255;

  private final Membership membership;
  private final IntSupplier inProgress;
  private final int concurrentMax;

  /**
   * Creates a reporter that is driven by {@link #tick}.
   *
   * @param inProgress supplies the number of requests in progress
   * @param concurrentMax the maximum number of requests in progress
   */
  public OwnLoadReporter(Membership membership, IntSupplier inProgress, int concurrentMax) {
    this.membership = membership;
    this.inProgress = inProgress;
    this.concurrentMax = concurrentMax;
  }

  /** Reports the current load in units of 1/255 of the capacity. */
  public void tick() {
    long load = (long) inProgress.getAsInt() * FULL_LOAD / concurrentMax;
    membership.onOwnLoad((int) Math.min(FULL_LOAD, load));
  }
}
