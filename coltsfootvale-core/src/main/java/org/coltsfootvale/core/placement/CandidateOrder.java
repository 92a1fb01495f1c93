package org.coltsfootvale.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PolicySpec;
import org.jspecify.annotations.Nullable;

/** The order in which the engines are tried for one request. */
final class CandidateOrder {

  private final PlacementRequest request;
  private final PolicySpec policy;
  private final PlacementOptions options;
  private final List<RankedEngine> live;
  private final @Nullable RankedEngine hinted;

  /**
   * Creates the order.
   *
   * @param live the live engines in the order of the ranking, not empty
   */
  CandidateOrder(
      PlacementRequest request,
      PolicySpec policy,
      PlacementOptions options,
      List<RankedEngine> live) {
    this.request = request;
    this.policy = policy;
    this.options = options;
    this.live = live;
    this.hinted = findHinted();
  }

  /** Returns the engines that may take the request, best first. */
  List<RankedEngine> best() {
    double bound = outstandingBound();
    List<RankedEngine> within = new ArrayList<>();
    List<RankedEngine> beyond = new ArrayList<>();
    for (RankedEngine engine : live) {
      if (!isOpen(engine)) {
        continue;
      }
      boolean fits = engine.load().outstandingRequests() + 1 <= bound;
      (fits ? within : beyond).add(engine);
    }
    List<RankedEngine> order = new ArrayList<>(byCost(within));
    beyond.sort(Comparator.comparingInt(engine -> engine.load().outstandingRequests()));
    order.addAll(beyond);
    return order;
  }

  /** Returns what is expected of the cache if an engine takes the request. */
  Plan plan(RankedEngine engine) {
    RankedEngine source = hinted;
    if (source == null) {
      return new Plan(0, null, engine.prefillSeconds(request.promptTokens()));
    }
    int held = heldTokens();
    if (engine.equals(source)) {
      return new Plan(held, null, engine.prefillSeconds(request.promptTokens() - held));
    }
    double prefill = engine.prefillSeconds(request.promptTokens());
    double imported =
        engine.prefillSeconds(request.promptTokens() - held)
            + options.importOverhead().toMillis() / 1000.0
            + held / options.importTokensPerSecond();
    if (held >= options.reuseTokensMin() && imported < prefill) {
      return new Plan(held, source.view().id(), imported);
    }
    return new Plan(0, null, prefill);
  }

  /** Returns the greatest number of outstanding requests that an engine may reach. */
  private double outstandingBound() {
    long sum = 1;
    for (RankedEngine engine : live) {
      sum += engine.load().outstandingRequests();
    }
    return Math.max(1, policy.loadBound() * sum / live.size());
  }

  private boolean isOpen(RankedEngine engine) {
    return !request.excluded().contains(engine.view().id())
        && engine.load().outstandingRequests() < options.outstandingRequestsMax()
        && engine.prefillSeconds(0) * 1000 <= options.prefillWaitMax().toMillis();
  }

  /** Puts the cheapest of the hinted engine and the first candidates of the ranking first. */
  private List<RankedEngine> byCost(List<RankedEngine> within) {
    RankedEngine source = hinted;
    if (source == null || !within.contains(source)) {
      return within;
    }
    List<RankedEngine> first = new ArrayList<>();
    first.add(source);
    for (RankedEngine engine : within) {
      if (!engine.equals(source)) {
        first.add(engine);
      }
    }
    int considered = Math.min(first.size(), 1 + policy.candidates());
    first.subList(0, considered).sort(Comparator.comparingDouble(engine -> plan(engine).seconds()));
    return first;
  }

  private int heldTokens() {
    CacheHint hint = request.hint();
    return hint == null ? 0 : Math.min(hint.cachedTokens(), request.promptTokens());
  }

  private @Nullable RankedEngine findHinted() {
    CacheHint hint = request.hint();
    if (hint == null) {
      return null;
    }
    for (RankedEngine engine : live) {
      boolean sameRun = engine.view().incarnation() == hint.engineIncarnation();
      if (engine.view().id().equals(hint.engine()) && sameRun) {
        return engine;
      }
    }
    return null;
  }

  /**
   * What is expected of the cache at an engine.
   *
   * @param cachedTokens the prompt tokens that need no prefill
   * @param importFrom the engine to import them from, or null
   * @param seconds the estimated time until the prompt is prefilled
   */
  record Plan(int cachedTokens, @Nullable EngineId importFrom, double seconds) {}
}
