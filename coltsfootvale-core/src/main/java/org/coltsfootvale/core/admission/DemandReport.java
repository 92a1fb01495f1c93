package org.coltsfootvale.core.admission;

import java.util.List;
import org.coltsfootvale.core.model.OrganisationId;

/** The demand of organisations at one router. */
public record DemandReport(List<Demand> demands) {

  /** Copies the list. */
  public DemandReport {
    demands = List.copyOf(demands);
  }

  /**
   * The demand of one organisation, refused requests included.
   *
   * @param organisation the organisation
   * @param requestsPerSecond the rate of requests
   * @param tokensPerSecond the rate of tokens
   */
  public record Demand(
      OrganisationId organisation, double requestsPerSecond, double tokensPerSecond) {}
}
