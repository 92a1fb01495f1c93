package org.coltsfootvale.core.placement;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The constants of engine selection that no release note changes.
 *
 * @param joinRamp how long the weight of an engine that has become live takes to reach its full
 *     value
 * @param stableAfter how long an engine must have been live before it is preferred to none; an
 *     engine that flaps waits a multiple of this
 * @param outstandingRequestsMax the greatest estimated number of outstanding requests of an engine,
 *     at least 1
 * @param prefillWaitMax the greatest estimated wait for prefill at an engine
 * @param importTokensPerSecond the rate at which an engine imports cache from another, more than 0
 * @param importOverhead the fixed time of an import
 * @param reuseTokensMin the fewest cached prompt tokens that are worth importing or exceeding the
 *     mean load for
 * @param boundShare which part of the room between the mean and the load bound is used up while the
 *     loads are known exactly, 0 to 1; the rest is left for requests that finish elsewhere
 */
public record PlacementOptions(
    Duration joinRamp,
    Duration stableAfter,
    int outstandingRequestsMax,
    Duration prefillWaitMax,
    double importTokensPerSecond,
    Duration importOverhead,
    int reuseTokensMin,
    double boundShare) {

  /** The values used unless the settings say otherwise. */
  public static final PlacementOptions DEFAULT =
      new PlacementOptions(
          Duration.ofSeconds(30),
          Duration.ofSeconds(2),
          512,
          Duration.ofSeconds(30),
          50_000,
          Duration.ofMillis(50),
          512,
          0.2);

  /** Checks the ranges. */
  public PlacementOptions {
    Checks.argument(!joinRamp.isNegative(), "joinRamp must not be negative");
    Checks.argument(!stableAfter.isNegative(), "stableAfter must not be negative");
    Checks.argument(
        outstandingRequestsMax >= 1,
        "outstandingRequestsMax must be at least 1, but is %d",
        outstandingRequestsMax);
    Checks.argument(
        importTokensPerSecond > 0,
        "importTokensPerSecond must be more than 0, but is %s",
        importTokensPerSecond);
    Checks.range(boundShare, 0, 1, "boundShare");
    Checks.argument(
        reuseTokensMin >= 0, "reuseTokensMin must be at least 0, but is %d", reuseTokensMin);
  }
}
