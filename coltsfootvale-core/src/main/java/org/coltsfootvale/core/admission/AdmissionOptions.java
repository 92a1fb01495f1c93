package org.coltsfootvale.core.admission;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * Options of admission control.
 *
 * @param burst the burst capacity, as a time at the share's rate
 * @param burstRequestsMin the minimum burst capacity in requests, at least 1
 * @param grantValidFor how long a coordinator's grant is valid
 * @param expiredShareFor how long an expired share is still used while the coordinator is
 *     unreachable
 * @param saturatedOutstandingPerEngine the mean number of outstanding requests of a live engine
 *     from which the fleet counts as saturated, at least 1
 * @param retryAfterMax the maximum retry delay of a refusal
 */
public record AdmissionOptions(
    Duration burst,
    double burstRequestsMin,
    Duration grantValidFor,
    Duration expiredShareFor,
    double saturatedOutstandingPerEngine,
    Duration retryAfterMax) {

  /** The default values. */
  public static final AdmissionOptions DEFAULT =
      new AdmissionOptions(
          Duration.ofSeconds(1),
          4,
          Duration.ofSeconds(3),
          Duration.ofSeconds(15),
          64,
          Duration.ofSeconds(30));

  /** Checks the ranges. */
  public AdmissionOptions {
    Checks.argument(
        burstRequestsMin >= 1, "burstRequestsMin must be at least 1, but is %s", burstRequestsMin);
    Checks.argument(
        saturatedOutstandingPerEngine >= 1,
        "saturatedOutstandingPerEngine must be at least 1, but is %s",
        saturatedOutstandingPerEngine);
  }
}
