package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.List;
import org.coltsfootvale.core.dispatch.ReplicaState;

/**
 * Collects what one attempt shows about the parts of its prompt: that a replica survived the
 * beginning of its answer, or was lost before. Confined to the serving loop.
 */
final class AttemptEvidence {

  /**
   * How long after its first part an answer counts as being written. A replica that ends earlier
   * may have ended because of the request.
   */
  private static final Duration ANSWER_ESTABLISHED_AFTER = Duration.ofMillis(100);

  private final Attempt attempt;
  private final Exchange.Context context;
  private final ReplicaState replica;
  private final List<String> partKeys;
  private boolean answerBegun;
  private boolean answerEstablished;
  private long firstPartNanos;

  AttemptEvidence(
      Attempt attempt, Exchange.Context context, ReplicaState replica, List<String> partKeys) {
    this.attempt = attempt;
    this.context = context;
    this.replica = replica;
    this.partKeys = partKeys;
  }

  void onBegun() {
    context.unanswered().add(attempt);
  }

  void onEnded() {
    context.unanswered().remove(attempt);
  }

  /** Records that a part of the answer has arrived. */
  void onPart() {
    long now = context.nanoTime().getAsLong();
    if (!answerBegun) {
      answerBegun = true;
      firstPartNanos = now;
    }
    if (now - firstPartNanos >= ANSWER_ESTABLISHED_AFTER.toNanos()) {
      onAnswered();
    }
  }

  /** Records that the replica has survived the beginning of its answer. */
  void onAnswered() {
    if (!answerEstablished) {
      answerEstablished = true;
      context.unanswered().remove(attempt);
      context.state().quarantine().onAnswer(partKeys);
    }
  }

  /** Records that the connection closed before the end of the answer. */
  void onLost() {
    if (!answerEstablished) {
      context.crashDetector().onUnansweredRequestLost(replica, partKeys);
    }
  }
}
