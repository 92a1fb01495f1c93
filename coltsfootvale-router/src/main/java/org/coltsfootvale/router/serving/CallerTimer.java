package org.coltsfootvale.router.serving;

/** When a caller has sent something, and how long it has been sending a head. */
final class CallerTimer {

  private long lastInputNanos;
  private boolean headBegun;
  private long headBegunNanos;

  CallerTimer(long nowNanos) {
    lastInputNanos = nowNanos;
  }

  /** Records that a part of a request has arrived. */
  void onInput(long nowNanos) {
    lastInputNanos = nowNanos;
  }

  /** Returns when the last part of a request has arrived. */
  long lastInputNanos() {
    return lastInputNanos;
  }

  /** Records the length of a pause during which the router did not read. */
  void onPaused(long nanos) {
    lastInputNanos += nanos;
  }

  /**
   * Returns whether an incomplete head has been arriving for too long; measured from the first call
   * after its first byte, so that nothing is recorded for each request.
   */
  boolean headTooSlow(boolean incomplete, long nowNanos, long maxNanos) {
    if (incomplete && !headBegun) {
      headBegunNanos = nowNanos;
    }
    headBegun = incomplete;
    return headBegun && nowNanos - headBegunNanos > maxNanos;
  }

  /** Records that a head is complete. */
  void onHead() {
    headBegun = false;
  }
}
