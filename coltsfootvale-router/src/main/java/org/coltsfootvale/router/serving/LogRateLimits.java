package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.decision.RateLimitedDecisionLog;

/** Limits the rate of the lines that other systems and callers cause. */
final class LogRateLimits {

  private static final Duration CALLER_INTERVAL = Duration.ofSeconds(1);

  private LogRateLimits() {}

  /** Returns a log with the limits. */
  static DecisionLog apply(DecisionLog log, LongSupplier nanoTime) {
    DecisionLog limited = ReplicaFeed.withRateLimit(log, nanoTime);
    for (DecisionEvent event :
        List.of(
            DecisionEvent.CALLER_REFUSED_FOR_MEMORY,
            DecisionEvent.CALLER_CLOSED_FOR_MEMORY,
            DecisionEvent.RESPONSE_ENDED_FOR_MEMORY,
            DecisionEvent.CALLER_TOO_SLOW,
            DecisionEvent.CALLER_CONNECTION_LIMIT)) {
      limited = new RateLimitedDecisionLog(limited, event, CALLER_INTERVAL, nanoTime);
    }
    return limited;
  }
}
