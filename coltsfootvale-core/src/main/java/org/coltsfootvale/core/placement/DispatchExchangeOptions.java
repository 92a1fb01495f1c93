package org.coltsfootvale.core.placement;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of the exchange of dispatch counts.
 *
 * @param routersMax the largest fleet in which counts are exchanged
 * @param completePeriod the time between complete messages; between them only changes are sent
 * @param validFor how long a peer's counts stay valid after receipt
 */
public record DispatchExchangeOptions(int routersMax, Duration completePeriod, Duration validFor) {

  /** The default values. */
  public static final DispatchExchangeOptions DEFAULT =
      new DispatchExchangeOptions(12, Duration.ofMillis(500), Duration.ofMillis(1_500));

  /** Checks the ranges. */
  public DispatchExchangeOptions {
    Checks.argument(routersMax >= 0, "routersMax must be at least 0, but is %d", routersMax);
    Checks.argument(
        validFor.compareTo(completePeriod) > 0,
        "validFor must be longer than completePeriod, but they are %s and %s",
        validFor,
        completePeriod);
  }
}
