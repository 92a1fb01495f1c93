package org.coltsfootvale.core.membership;

import org.coltsfootvale.core.model.EngineLoad;

/**
 * Rounds load values so that they encode short, and determines whether a change is large enough to
 * be sent.
 */
final class LoadQuantiser {

  private static final int EXACT_MAX = 16;
  private static final int MANTISSA_BITS = 4;

  private LoadQuantiser() {}

  /** Rounds to four significant bits; small numbers stay exact. */
  static long quantise(long value) {
    if (value < EXACT_MAX) {
      return Math.max(0, value);
    }
    int shift = Long.SIZE - Long.numberOfLeadingZeros(value) - MANTISSA_BITS;
    long half = 1L << (shift - 1);
    return ((value + half) >> shift) << shift;
  }

  /** Returns whether a load differs from the published one by more than a relative change. */
  static boolean differs(EngineLoad published, EngineLoad load, double relativeChange) {
    return differs(published.outstandingRequests(), load.outstandingRequests(), relativeChange, 1)
        || differs(published.queuedTokens(), load.queuedTokens(), relativeChange, 512)
        || differs(published.runningTokens(), load.runningTokens(), relativeChange, 512);
  }

  private static boolean differs(long before, long after, double relativeChange, long floor) {
    double threshold = Math.max((double) floor, relativeChange * (double) Math.max(before, after));
    return (double) Math.abs(after - before) > threshold;
  }
}
