package org.coltsfootvale.core.admission;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.support.TokenBucket;
import org.jspecify.annotations.Nullable;

/**
 * While the fleet is saturated, divides the rate at which this router's requests finish tokens
 * among the organisations by weighted max-min fairness. An organisation whose allocation covers its
 * demand is not limited. Thread-safe.
 */
final class SaturationLimiter {

  private static final long UPDATE_PERIOD_MILLIS = 500;
  private static final double FINISHED_DECAY_SECONDS = 5;
  private static final double CAPACITY_PER_DEMAND_MIN = 0.1;

  private final Supplier<FleetState> state;
  private final Supplier<FleetView> view;
  private final DemandMeter meter;
  private final InstantSource clock;
  private final AdmissionOptions options;
  private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
  private Map<OrganisationId, Double> allocations = Map.of();
  private double finishedTokensPerSecond;
  private long finishedAtMillis;
  private long updatedAtMillis = Long.MIN_VALUE / 2;
  private boolean saturated;

  SaturationLimiter(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      DemandMeter meter,
      InstantSource clock,
      AdmissionOptions options) {
    this.state = state;
    this.view = view;
    this.meter = meter;
    this.clock = clock;
    this.options = options;
  }

  /** Returns whether a request of an organisation is admitted, and takes its tokens if so. */
  synchronized boolean tryAcquire(OrganisationId organisation, long tokens) {
    long nowMillis = clock.millis();
    if (nowMillis - updatedAtMillis >= UPDATE_PERIOD_MILLIS) {
      update(nowMillis);
    }
    @Nullable Double allocation = saturated ? allocations.get(organisation) : null;
    if (allocation == null) {
      return true;
    }
    TokenBucket bucket =
        buckets.computeIfAbsent(
            organisation, id -> new TokenBucket(allocation, allocation, nowMillis));
    bucket.refill(allocation, Math.max(1, allocation), nowMillis);
    if (bucket.secondsUntil(1) > 0) {
      return false;
    }
    bucket.take((double) tokens);
    return true;
  }

  /** Counts finished tokens towards the capacity to divide. */
  synchronized void finished(long tokens) {
    decayFinished(clock.millis());
    finishedTokensPerSecond += tokens / FINISHED_DECAY_SECONDS;
  }

  private void update(long nowMillis) {
    updatedAtMillis = nowMillis;
    saturated = meanOutstanding() >= options.saturatedOutstandingPerEngine();
    if (!saturated) {
      buckets.clear();
      return;
    }
    Map<OrganisationId, WeightedMaxMin.WeightedDemand> demands = weightedDemands();
    double totalDemand =
        demands.values().stream().mapToDouble(WeightedMaxMin.WeightedDemand::demand).sum();
    decayFinished(nowMillis);
    double capacity = Math.max(finishedTokensPerSecond, totalDemand * CAPACITY_PER_DEMAND_MIN);
    Map<OrganisationId, Double> limited = WeightedMaxMin.allocate(capacity, demands);
    limited
        .entrySet()
        .removeIf(
            allocation -> isSatisfied(allocation.getValue(), demands.get(allocation.getKey())));
    allocations = limited;
    buckets.keySet().retainAll(allocations.keySet());
  }

  private static boolean isSatisfied(
      double allocation, WeightedMaxMin.@Nullable WeightedDemand demand) {
    return demand == null || allocation >= demand.demand();
  }

  private Map<OrganisationId, WeightedMaxMin.WeightedDemand> weightedDemands() {
    Map<OrganisationId, OrganisationSpec> organisations = state.get().organisations();
    Map<OrganisationId, WeightedMaxMin.WeightedDemand> demands = new HashMap<>();
    for (DemandReport.Demand demand : meter.demands().values()) {
      @Nullable OrganisationSpec organisation = organisations.get(demand.organisation());
      if (organisation != null) {
        double cappedDemand = Math.min(demand.tokensPerSecond(), organisation.tokensPerSecond());
        demands.put(
            organisation.id(),
            new WeightedMaxMin.WeightedDemand(cappedDemand, organisation.weight()));
      }
    }
    return demands;
  }

  private double meanOutstanding() {
    long sum = 0;
    int count = 0;
    for (EngineView engine : view.get().engines().values()) {
      @Nullable EngineLoad load = engine.load();
      if (engine.liveness() == Liveness.LIVE && load != null) {
        sum += load.outstandingRequests();
        count++;
      }
    }
    return count == 0 ? 0 : (double) sum / count;
  }

  private void decayFinished(long nowMillis) {
    double seconds = Math.max(0, nowMillis - finishedAtMillis) / 1000.0;
    finishedTokensPerSecond *= Math.exp(-seconds / FINISHED_DECAY_SECONDS);
    finishedAtMillis = nowMillis;
  }
}
