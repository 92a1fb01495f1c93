package org.coltsfootvale.core.placement;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of engine selection that release notes cannot change.
 *
 * @param joinRamp how long an engine takes to reach its full weight after it has become live
 * @param stableAfter how long an engine must have been live to count as stable; an engine that
 *     flaps needs a multiple of this
 * @param outstandingRequestsMax the maximum estimated number of outstanding requests of an engine,
 *     at least 1
 * @param prefillWaitMax the maximum estimated wait for prefill at an engine
 * @param importTokensPerSecond the rate at which an engine imports cached tokens from another, more
 *     than 0
 * @param importOverhead the fixed duration of an import
 * @param reuseTokensMin the minimum number of cached prompt tokens that justifies an import or
 *     exceeding the mean load
 * @param boundShare the part of the margin between the mean and the load bound that is used while
 *     the loads are exact, 0 to 1; the rest is left for requests that finish elsewhere
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

  /** The default values. */
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
