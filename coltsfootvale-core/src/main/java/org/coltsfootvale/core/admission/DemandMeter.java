package org.coltsfootvale.core.admission;

import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.core.model.OrganisationId;

/**
 * Measures the demand of each organisation at this router, refused requests included, as rates that
 * decay exponentially. Thread-safe; each organisation has its own lock.
 */
public final class DemandMeter {

  private static final double DECAY_SECONDS = 1;
  private static final double REQUESTS_PER_SECOND_MIN = 0.001;

  private final InstantSource clock;
  private final Map<OrganisationId, Rate> rates = new ConcurrentHashMap<>();

  /** Creates a meter without demand. */
  public DemandMeter(InstantSource clock) {
    this.clock = clock;
  }

  /** Records a request with its estimated prompt and answer tokens. */
  public void record(OrganisationId organisation, long tokens) {
    rates.computeIfAbsent(organisation, id -> new Rate()).add(clock.millis(), tokens);
  }

  /** Returns the current demand by organisation, without organisations below the minimum rate. */
  public Map<OrganisationId, DemandReport.Demand> demands() {
    long nowMillis = clock.millis();
    Map<OrganisationId, DemandReport.Demand> demands = new HashMap<>();
    rates.forEach(
        (organisation, rate) -> {
          DemandReport.Demand demand = rate.demand(organisation, nowMillis);
          if (demand.requestsPerSecond() >= REQUESTS_PER_SECOND_MIN) {
            demands.put(organisation, demand);
          }
        });
    return demands;
  }

  /** Removes all organisations except the given ones. */
  public void retain(Collection<OrganisationId> organisations) {
    rates.keySet().retainAll(organisations);
  }

  private static final class Rate {

    private double requestsPerSecond;
    private double tokensPerSecond;
    private long updatedAtMillis;

    synchronized void add(long nowMillis, long tokens) {
      decay(nowMillis);
      requestsPerSecond += 1 / DECAY_SECONDS;
      tokensPerSecond += tokens / DECAY_SECONDS;
    }

    synchronized DemandReport.Demand demand(OrganisationId organisation, long nowMillis) {
      decay(nowMillis);
      return new DemandReport.Demand(organisation, requestsPerSecond, tokensPerSecond);
    }

    private void decay(long nowMillis) {
      double seconds = Math.max(0, nowMillis - updatedAtMillis) / 1000.0;
      double factor = Math.exp(-seconds / DECAY_SECONDS);
      requestsPerSecond *= factor;
      tokensPerSecond *= factor;
      updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }
  }
}
