package org.coltsfootvale.core.admission;

import java.time.Duration;
import java.util.List;
import org.coltsfootvale.core.model.OrganisationId;

/**
 * The shares granted to one router.
 *
 * @param shares a share for each known organisation in the report
 * @param validFor how long the shares are valid
 */
public record ShareGrant(List<Share> shares, Duration validFor) {

  /** Copies the list. */
  public ShareGrant {
    shares = List.copyOf(shares);
  }

  /** The share of one organisation's limits. */
  public record Share(
      OrganisationId organisation, double requestsPerSecond, double tokensPerSecond) {}
}
