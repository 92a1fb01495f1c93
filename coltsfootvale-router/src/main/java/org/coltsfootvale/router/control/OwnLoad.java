package org.coltsfootvale.router.control;

import java.util.function.IntSupplier;
import org.coltsfootvale.core.membership.Membership;

/** Tells membership how loaded this router is. */
public final class OwnLoad {

  private static final int FULL = 255;

  private final Membership membership;
  private final IntSupplier inProgress;
  private final int concurrentMax;

  /**
   * Creates the report that is driven by {@link #tick}.
   *
   * @param inProgress the requests in progress
   * @param concurrentMax the greatest number of requests in progress
   */
  public OwnLoad(Membership membership, IntSupplier inProgress, int concurrentMax) {
    this.membership = membership;
    this.inProgress = inProgress;
    this.concurrentMax = concurrentMax;
  }

  /** Reports the present load in 1/255ths of the capacity. */
  public void tick() {
    long load = (long) inProgress.getAsInt() * FULL / concurrentMax;
    membership.onOwnLoad((int) Math.min(FULL, load));
  }
}
