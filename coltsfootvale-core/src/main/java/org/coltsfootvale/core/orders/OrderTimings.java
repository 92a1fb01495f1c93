package org.coltsfootvale.core.orders;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The time limits by which order senders exclude each other.
 *
 * @param leaseTimeToLive how long a lease lasts without renewal
 * @param orderInFlight the maximum time from the start of {@link OrderTransport#send} until the
 *     order has taken effect or never will; the transport must time out within it
 * @param margin how long before the end of its lease a sender stops sending, at least {@code
 *     orderInFlight}
 * @param repairInterval the interval at which the state of each engine is read back
 */
public record OrderTimings(
    Duration leaseTimeToLive, Duration orderInFlight, Duration margin, Duration repairInterval) {

  /** The default time limits. */
  public static final OrderTimings DEFAULT =
      new OrderTimings(
          Duration.ofSeconds(20),
          Duration.ofSeconds(3),
          Duration.ofSeconds(5),
          Duration.ofSeconds(15));

  /** Validates the time limits. */
  public OrderTimings {
    Checks.argument(
        margin.compareTo(orderInFlight) >= 0,
        "margin %s must not be shorter than orderInFlight %s",
        margin,
        orderInFlight);
    Checks.argument(
        leaseTimeToLive.compareTo(margin.multipliedBy(2)) > 0,
        "leaseTimeToLive %s must be more than twice the margin %s",
        leaseTimeToLive,
        margin);
  }
}
