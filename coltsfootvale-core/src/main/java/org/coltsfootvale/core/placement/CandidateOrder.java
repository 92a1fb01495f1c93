package org.coltsfootvale.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PolicySpec;
import org.jspecify.annotations.Nullable;

/** The order in which the engines are tried for one request. */
final class CandidateOrder {

  private static final int REFUSALS_MAX = 1;
  private static final Comparator<RankedEngine> BY_LOAD =
      Comparator.comparingInt(engine -> engine.load().outstandingRequests());

  private final PlacementRequest request;
  private final PolicySpec policy;
  private final PlacementOptions options;
  private final List<RankedEngine> live;
  private final @Nullable RankedEngine hinted;
  private final boolean hintedIsLeaving;
  private final double outstandingMean;
  private final boolean fresh;

  /**
   * Creates the order.
   *
   * @param live the live engines in the order of the ranking, not empty
   * @param hintedIsLeaving whether the engine of the hint is leaving, so that it can only export
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
    this.fresh = live.stream().allMatch(engine -> engine.load().fresh());
  }

  /** Returns the engines that may take the request, best first. */
  List<RankedEngine> best() {
    List<RankedEngine> within = new ArrayList<>();
    List<RankedEngine> beyond = new ArrayList<>();
    for (RankedEngine engine : live) {
      if (!isOpen(engine)) {
        continue;
      }
      boolean fits = engine.load().outstandingRequests() + 1 <= bound(engine);
      (fits ? within : beyond).add(engine);
    }
    List<RankedEngine> order =
        new ArrayList<>(fresh && isShort() ? byLoad(within) : byCost(within));
    beyond.sort(BY_LOAD);
    order.addAll(beyond);
    return order;
  }

  /**
   * Returns the number of outstanding requests that an engine may reach by choice. Where the loads
   * are known exactly, only a request that saves enough prefill may take an engine above the mean.
   */
  private double bound(RankedEngine engine) {
    boolean isHinted = engine.equals(hinted);
    boolean keepsPlace = isHinted ? heldTokens() >= options.reuseTokensMin() : !isShort();
    double factor = keepsPlace || !fresh ? boundFactor() : 1;
    return Math.max(1, factor * (outstandingMean + 1.0 / live.size()));
  }

  /** Returns the load bound, without the room left for what exact loads do not foretell. */
  private double boundFactor() {
    double share = fresh ? options.boundShare() : 1;
    return 1 + (policy.loadBound() - 1) * share;
  }

  /** Returns whether the prompt is so short that computing it anywhere costs little. */
  private boolean isShort() {
    return request.promptTokens() < 2 * options.reuseTokensMin();
  }

  /** Puts the hinted engine first, then the least loaded. */
  private List<RankedEngine> byLoad(List<RankedEngine> within) {
    List<RankedEngine> order = new ArrayList<>(within);
    order.sort(BY_LOAD);
    RankedEngine source = hinted;
    if (source != null && order.remove(source)) {
      order.add(0, source);
    }
    return order;
  }

  /**
   * Returns the number of outstanding requests beyond which an engine should refuse the request; no
   * limit once an engine has refused it.
   */
  int outstandingRequestsMax() {
    if (request.excluded().size() >= REFUSALS_MAX) {
      return Integer.MAX_VALUE;
    }
    double bound = boundFactor() * (outstandingMean + 1.0 / live.size());
    return (int) Math.max(Math.floor(bound), Math.floor(outstandingMean) + 1);
  }

  /** Returns what is expected of the cache if an engine takes the request. */
  Plan plan(RankedEngine engine) {
    CacheHint hint = request.hint();
    if (hint == null || (hinted == null && !hintedIsLeaving)) {
      return new Plan(0, null, engine.prefillSeconds(request.promptTokens()));
    }
    int held = heldTokens();
    if (engine.equals(hinted)) {
      return new Plan(held, null, engine.prefillSeconds(request.promptTokens() - held));
    }
    double prefill = engine.prefillSeconds(request.promptTokens());
    double imported =
        engine.prefillSeconds(request.promptTokens() - held)
            + options.importOverhead().toMillis() / 1000.0
            + held / options.importTokensPerSecond();
    if (held >= options.reuseTokensMin() && imported < prefill) {
      return new Plan(held, hint.engine(), imported);
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
