package org.coltsfootvale.core.decision;

/** Records decisions for logs and metrics. Implementations never block and never throw. */
@FunctionalInterface
public interface DecisionLog {

  /** Discards all decisions. */
  DecisionLog NONE = decision -> {};

  /** Records a decision. */
  void record(Decision decision);

  /** Returns a log that records each decision in this log and then in another. */
  default DecisionLog andThen(DecisionLog other) {
    return decision -> {
      record(decision);
      other.record(decision);
    };
  }
}
