package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of the circuit breakers.
 *
 * @param failuresToOpen the number of consecutive failures that opens a circuit, at least 1
 * @param openBase how long a circuit stays open the first time; doubles with each failed probe
 * @param openMax the maximum time that a circuit stays open, without jitter
 */
public record CircuitOptions(int failuresToOpen, Duration openBase, Duration openMax) {

  /** The default values. */
  public static final CircuitOptions DEFAULT =
      new CircuitOptions(5, Duration.ofSeconds(1), Duration.ofSeconds(30));

  /** Checks the ranges. */
  public CircuitOptions {
    Checks.argument(
        failuresToOpen >= 1, "failuresToOpen must be at least 1, but is %d", failuresToOpen);
    Checks.argument(
        openBase.compareTo(Duration.ZERO) > 0 && openMax.compareTo(openBase) >= 0,
        "openBase must be more than 0 and at most openMax, but they are %s and %s",
        openBase,
        openMax);
  }
}
