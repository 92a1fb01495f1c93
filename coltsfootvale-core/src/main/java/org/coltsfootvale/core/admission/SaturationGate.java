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
 * While the fleet is saturated, divides what this router's requests get finished between the
 * organisations by weighted max-min fairness. Organisations whose whole demand fits into their part
 * pass freely; the others are held to theirs. Thread-safe.
 */
final class SaturationGate {

  private static final long REVIEW_MILLIS = 500;
  private static final double FINISHED_DECAY_SECONDS = 5;
  private static final double CAPACITY_MIN_OF_DEMAND = 0.1;

  private final Supplier<FleetState> state;
  private final Supplier<FleetView> view;
  private final DemandMeter meter;
  private final InstantSource clock;
  private final AdmissionOptions options;
  private final Map<OrganisationId, TokenBucket> buckets = new HashMap<>();
  private Map<OrganisationId, Double> parts = Map.of();
  private double finishedTokensPerSecond;
  private long finishedAtMillis;
  private long reviewedAtMillis = Long.MIN_VALUE / 2;
  private boolean saturated;

  SaturationGate(
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

  /** Returns whether a request of an organisation may pass, and takes its tokens if so. */
  synchronized boolean tryPass(OrganisationId organisation, long tokens) {
    long nowMillis = clock.millis();
    if (nowMillis - reviewedAtMillis >= REVIEW_MILLIS) {
      review(nowMillis);
    }
    @Nullable Double part = saturated ? parts.get(organisation) : null;
    if (part == null) {
      return true;
    }
    TokenBucket bucket =
        buckets.computeIfAbsent(organisation, id -> new TokenBucket(part, part, nowMillis));
    bucket.refill(part, Math.max(1, part), nowMillis);
    if (bucket.secondsUntil(1) > 0) {
      return false;
    }
    bucket.take((double) tokens);
    return true;
  }

  /** Counts finished tokens towards the capacity that is divided. */
  synchronized void finished(long tokens) {
    decayFinished(clock.millis());
    finishedTokensPerSecond += tokens / FINISHED_DECAY_SECONDS;
  }

  private void review(long nowMillis) {
    reviewedAtMillis = nowMillis;
    saturated = meanOutstanding() >= options.saturatedOutstandingPerEngine();
    if (!saturated) {
      buckets.clear();
      return;
    }
    Map<OrganisationId, WeightedMaxMin.Claim> claims = claims();
    double demand = claims.values().stream().mapToDouble(WeightedMaxMin.Claim::demand).sum();
    decayFinished(nowMillis);
    double capacity = Math.max(finishedTokensPerSecond, demand * CAPACITY_MIN_OF_DEMAND);
    Map<OrganisationId, Double> divided = WeightedMaxMin.divide(capacity, claims);
    divided.entrySet().removeIf(part -> isMet(part.getValue(), claims.get(part.getKey())));
    parts = divided;
    buckets.keySet().retainAll(parts.keySet());
  }

  private static boolean isMet(double part, WeightedMaxMin.@Nullable Claim claim) {
    return claim == null || part >= claim.demand();
  }

  private Map<OrganisationId, WeightedMaxMin.Claim> claims() {
    Map<OrganisationId, OrganisationSpec> organisations = state.get().organisations();
    Map<OrganisationId, WeightedMaxMin.Claim> claims = new HashMap<>();
    for (DemandReport.Demand demand : meter.demands().values()) {
      @Nullable OrganisationSpec organisation = organisations.get(demand.organisation());
      if (organisation != null) {
        double wanted = Math.min(demand.tokensPerSecond(), organisation.tokensPerSecond());
        claims.put(organisation.id(), new WeightedMaxMin.Claim(wanted, organisation.weight()));
      }
    }
    return claims;
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
