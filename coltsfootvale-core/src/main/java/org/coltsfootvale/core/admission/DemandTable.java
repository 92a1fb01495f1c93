package org.coltsfootvale.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.release.OrganisationSpec;

/**
 * The demand of one organisation by router, as reported to its coordinator. Guarded by its own
 * lock.
 */
final class DemandTable {

  private static final int REMAINDER_PARTS_MAX = 8;

  private final Duration demandValidFor;
  private final Map<RouterId, Entry> entries = new HashMap<>();

  DemandTable(Duration demandValidFor) {
    this.demandValidFor = demandValidFor;
  }

  /** Records a router's demand and returns its share. */
  synchronized ShareGrant.Share grant(
      OrganisationSpec organisation,
      RouterIncarnation from,
      DemandReport.Demand demand,
      int liveRouters,
      Instant now) {
    entries.put(from.id(), new Entry(demand, now.plus(demandValidFor)));
    entries.values().removeIf(entry -> !now.isBefore(entry.validUntil()));
    double requests = 0;
    double tokens = 0;
    for (Entry entry : entries.values()) {
      requests += entry.demand().requestsPerSecond();
      tokens += entry.demand().tokensPerSecond();
    }
    return new ShareGrant.Share(
        organisation.id(),
        part(organisation.requestsPerSecond(), demand.requestsPerSecond(), requests, liveRouters),
        part(organisation.tokensPerSecond(), demand.tokensPerSecond(), tokens, liveRouters));
  }

  /**
   * Returns a router's part of a limit: in proportion to its demand where the demand exceeds the
   * limit, otherwise its demand and an equal part of the remainder.
   */
  private static double part(double limit, double demand, double sum, int liveRouters) {
    if (sum >= limit) {
      return limit * demand / sum;
    }
    int parts = Math.max(1, Math.min(liveRouters, REMAINDER_PARTS_MAX));
    return demand + (limit - sum) / parts;
  }

  private record Entry(DemandReport.Demand demand, Instant validUntil) {}
}
