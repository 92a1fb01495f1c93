package org.coltsfootvale.core.decision;

/** Takes decisions for logs and metrics. Implementations never block and never throw. */
@FunctionalInterface
public interface DecisionLog {

  /** Takes nothing. */
  DecisionLog NONE = decision -> {};

  /** Takes a decision. */
  void record(Decision decision);

  /** Returns a log that passes each decision on to this one and then to another. */
  default DecisionLog andThen(DecisionLog other) {
    return decision -> {
      record(decision);
      other.record(decision);
    };
  }
}
