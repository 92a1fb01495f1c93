package org.coltsfootvale.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Delays the recovery of an engine that has recovered too often within a window. Not thread-safe.
 */
final class FlapDamper {

  private final MembershipOptions options;
  private final Deque<Instant> recoveries = new ArrayDeque<>();
  private @Nullable Instant answeringSince;

  /** Creates a damper without a history. */
  FlapDamper(MembershipOptions options) {
    this.options = options;
  }

  /** Records that the engine did not answer. */
  void onSilent() {
    answeringSince = null;
  }

  /** Records an answer of an engine that is not live; returns whether the engine is live again. */
  boolean onAnswer(Instant now) {
    removeOldRecoveries(now);
    if (answeringSince == null) {
      answeringSince = now;
    }
    if (now.isBefore(answeringSince.plus(hold()))) {
      return false;
    }
    recoveries.addLast(now);
    return true;
  }

  private Duration hold() {
    int excess = recoveries.size() - options.flapRecoveriesMax();
    if (excess < 0) {
      return Duration.ZERO;
    }
    Duration hold = options.flapHold();
    for (int step = 0; step < excess && hold.compareTo(options.flapWindow()) < 0; step++) {
      hold = hold.multipliedBy(2);
    }
    return hold.compareTo(options.flapWindow()) < 0 ? hold : options.flapWindow();
  }

  private void removeOldRecoveries(Instant now) {
    Instant oldest = now.minus(options.flapWindow());
    while (!recoveries.isEmpty() && recoveries.getFirst().isBefore(oldest)) {
      recoveries.removeFirst();
    }
  }
}
