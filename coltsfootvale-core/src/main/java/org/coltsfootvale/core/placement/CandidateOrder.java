package org.coltsfootvale.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PolicySpec;
import org.jspecify.annotations.Nullable;

/** Orders the engines that may take one request, best first. */
final class CandidateOrder {

  private static final int EXCLUDED_ENGINES_MAX = 1;
  private static final Comparator<RankedEngine> BY_LOAD =
      Comparator.comparingInt(engine -> engine.load().outstandingRequests());

  private final PlacementRequest request;
  private final PolicySpec policy;
  private final PlacementOptions options;
  private final List<RankedEngine> live;
  private final @Nullable RankedEngine hinted;
  private final boolean hintedIsLeaving;
  private final double outstandingMean;
  private final boolean exactLoads;

  /**
   * Creates the order.
   *
   * @param live the live engines in the order of the ranking, not empty
   * @param hintedIsLeaving whether the hinted engine is leaving and can only export its cache
   */
  CandidateOrder(
      PlacementRequest request,
      PolicySpec policy,
      PlacementOptions options,
      List<RankedEngine> live,
      boolean hintedIsLeaving) {
    this.request = request;
    this.policy = policy;
    this.options = options;
    this.live = live;
    this.hinted = findHinted();
    this.hintedIsLeaving = hintedIsLeaving;
    this.outstandingMean = meanOutstanding();
    this.exactLoads = live.stream().allMatch(engine -> engine.load().exact());
  }

  /** Returns the engines that may take the request, best first. */
  List<RankedEngine> ordered() {
    List<RankedEngine> withinBound = new ArrayList<>();
    List<RankedEngine> aboveBound = new ArrayList<>();
    for (RankedEngine engine : live) {
      if (!isAvailable(engine)) {
        continue;
      }
      boolean isWithin = engine.load().outstandingRequests() + 1 <= outstandingBound(engine);
      (isWithin ? withinBound : aboveBound).add(engine);
    }
    List<RankedEngine> order =
        new ArrayList<>(
            exactLoads && isShortPrompt() ? orderByLoad(withinBound) : orderByCost(withinBound));
    aboveBound.sort(BY_LOAD);
    order.addAll(aboveBound);
    return order;
  }

  /**
   * Returns the number of outstanding requests up to which an engine is preferred. With exact
   * loads, an engine may exceed the mean only for a long prompt, or as the hinted engine for enough
   * cached tokens.
   */
  private double outstandingBound(RankedEngine engine) {
    boolean isHinted = engine.equals(hinted);
    boolean mayExceedMean =
        isHinted ? hintedTokens() >= options.reuseTokensMin() : !isShortPrompt();
    double factor = mayExceedMean || !exactLoads ? boundFactor() : 1;
    return Math.max(1, factor * (outstandingMean + 1.0 / live.size()));
  }

  /**
   * Returns the load bound as a factor of the mean; with exact loads, the part given by boundShare.
   */
  private double boundFactor() {
    double share = exactLoads ? options.boundShare() : 1;
    return 1 + (policy.loadBound() - 1) * share;
  }

  /** Returns whether the prompt is so short that its prefill costs little on any engine. */
  private boolean isShortPrompt() {
    return request.promptTokens() < 2 * options.reuseTokensMin();
  }

  /** Orders the hinted engine first, then the others by load. */
  private List<RankedEngine> orderByLoad(List<RankedEngine> withinBound) {
    List<RankedEngine> order = new ArrayList<>(withinBound);
    order.sort(BY_LOAD);
    RankedEngine source = hinted;
    if (source != null && order.remove(source)) {
      order.add(0, source);
    }
    return order;
  }

  /**
   * Returns the number of outstanding requests above which an engine should refuse the request;
   * unlimited once an engine has been excluded.
   */
  int outstandingRequestsMax() {
    if (request.excluded().size() >= EXCLUDED_ENGINES_MAX) {
      return Integer.MAX_VALUE;
    }
    double limit = boundFactor() * (outstandingMean + 1.0 / live.size());
    return (int) Math.max(Math.floor(limit), Math.floor(outstandingMean) + 1);
  }

  /** Returns the expected cache use if the given engine takes the request. */
  Plan plan(RankedEngine engine) {
    CacheHint hint = request.hint();
    if (hint == null || (hinted == null && !hintedIsLeaving)) {
      return new Plan(0, null, engine.prefillSeconds(request.promptTokens()));
    }
    int cached = hintedTokens();
    if (engine.equals(hinted)) {
      return new Plan(cached, null, engine.prefillSeconds(request.promptTokens() - cached));
    }
    double prefill = engine.prefillSeconds(request.promptTokens());
    double imported =
        engine.prefillSeconds(request.promptTokens() - cached)
            + options.importOverhead().toMillis() / 1000.0
            + cached / options.importTokensPerSecond();
    if (cached >= options.reuseTokensMin() && imported < prefill) {
      return new Plan(cached, hint.engine(), imported);
    }
    return new Plan(0, null, prefill);
  }

  private double meanOutstanding() {
    double sum = 0;
    for (RankedEngine engine : live) {
      sum += engine.load().outstandingRequests();
    }
    return sum / live.size();
  }

  private boolean isAvailable(RankedEngine engine) {
    return !request.excluded().contains(engine.view().id())
        && engine.load().outstandingRequests() < options.outstandingRequestsMax()
        && engine.prefillSeconds(0) * 1000 <= options.prefillWaitMax().toMillis();
  }

  /**
   * Orders the hinted engine and the first candidates of the ranking by their estimated prefill
   * time, before the rest.
   */
  private List<RankedEngine> orderByCost(List<RankedEngine> withinBound) {
    RankedEngine source = hinted;
    if (source == null || !withinBound.contains(source)) {
      return withinBound;
    }
    List<RankedEngine> candidates = new ArrayList<>();
    candidates.add(source);
    for (RankedEngine engine : withinBound) {
      if (!engine.equals(source)) {
        candidates.add(engine);
      }
    }
    int considered = Math.min(candidates.size(), 1 + policy.candidates());
    candidates
        .subList(0, considered)
        .sort(Comparator.comparingDouble(engine -> plan(engine).seconds()));
    return candidates;
  }

  private int hintedTokens() {
    CacheHint hint = request.hint();
    return hint == null ? 0 : Math.min(hint.cachedTokens(), request.promptTokens());
  }

  private @Nullable RankedEngine findHinted() {
    CacheHint hint = request.hint();
    if (hint == null) {
      return null;
    }
    for (RankedEngine engine : live) {
      boolean sameIncarnation = engine.view().incarnation() == hint.engineIncarnation();
      if (engine.view().id().equals(hint.engine()) && sameIncarnation) {
        return engine;
      }
    }
    return null;
  }

  /**
   * The expected cache use at an engine.
   *
   * @param cachedTokens the prompt tokens that need no prefill
   * @param importFrom the engine to import them from, or null
   * @param seconds the estimated time until the prompt is prefilled
   */
  record Plan(int cachedTokens, @Nullable EngineId importFrom, double seconds) {}
}
