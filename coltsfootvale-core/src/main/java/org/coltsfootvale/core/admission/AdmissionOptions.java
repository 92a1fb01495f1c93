package org.coltsfootvale.core.admission;

import java.time.Duration;
import org.coltsfootvale.core.support.Checks;

/**
 * The constants of admission.
 *
 * @param burst how much of a share may be saved up, as a time at the share's rate
 * @param burstRequestsMin the fewest requests that may be saved up, at least 1
 * @param grantValidFor how long a coordinator's grant holds
 * @param lastShareFor how long an expired share is still used while the coordinator is out of reach
 * @param saturatedOutstandingPerEngine the mean number of outstanding requests of a live engine
 *     from which the fleet counts as saturated, at least 1
 * @param retryAfterMax the longest time to retry that a refusal names
 */
public record AdmissionOptions(
    Duration burst,
    double burstRequestsMin,
    Duration grantValidFor,
    Duration lastShareFor,
    double saturatedOutstandingPerEngine,
    Duration retryAfterMax) {

  /** The values used unless the settings say otherwise. */
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
