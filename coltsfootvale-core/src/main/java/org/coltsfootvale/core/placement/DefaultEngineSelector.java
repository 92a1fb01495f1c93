package org.coltsfootvale.core.placement;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Chooses by weighted rendezvous ranking, the caller's hint and a bound on the estimated load.
 *
 * <p>An engine may take a request if its estimated load stays within the load bound times the mean
 * over the live engines of the model. If no engine is within the bound, the least loaded one takes
 * the request, unless all of them are at their absolute limit.
 */
public final class DefaultEngineSelector implements EngineSelector {

  private static final Duration RETRY_NO_BACKEND = Duration.ofSeconds(2);
  private static final Duration RETRY_OVERLOADED = Duration.ofSeconds(1);

  private final Supplier<FleetState> state;
  private final EngineRanking ranking;
  private final CircuitBreakers circuits;
  private final InstantSource clock;
  private final PlacementOptions options;

  /** Creates a selector that estimates the engines' loads from their reports alone. */
  public DefaultEngineSelector(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      CircuitBreakers circuits,
      InstantSource clock,
      PlacementOptions options) {
    this(state, view, PeerLoads.UNKNOWN, circuits, clock, options);
  }

  /**
   * Creates a selector.
   *
   * @param state the release state
   * @param view the membership view with the engines' load reports
   * @param peers the load that peers have put on the engines, used instead of reports where
   *     available
   * @param circuits the circuit breakers by engine id
   * @param clock the clock
   * @param options the options
   */
  public DefaultEngineSelector(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      PeerLoads peers,
      CircuitBreakers circuits,
      InstantSource clock,
      PlacementOptions options) {
    this.state = state;
    this.ranking = new EngineRanking(state, view, peers, clock, options);
    this.circuits = circuits;
    this.clock = clock;
    this.options = options;
  }

  @Override
  public Reservation select(PlacementRequest request) {
    long chatHash =
        RendezvousHashing.combine(
            RendezvousHashing.hash(request.organisation().value()),
            RendezvousHashing.hash(request.chat()));
    List<RankedEngine> live = ranking.rank(request.model(), chatHash);
    if (live.isEmpty()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.NO_BACKEND, "no live engine serves model " + request.model(), RETRY_NO_BACKEND);
    }
    PolicySpec policy = state.get().policy();
    CandidateOrder order =
        new CandidateOrder(request, policy, options, live, sourceIsLeaving(request));
    for (RankedEngine engine : order.ordered()) {
      if (circuits.tryAcquire(engine.view().id().value())) {
        return reserve(engine, request, order);
      }
    }
    throw refusal(request, live);
  }

  private boolean sourceIsLeaving(PlacementRequest request) {
    CacheHint hint = request.hint();
    return hint != null && ranking.isLeaving(hint);
  }

  /** Returns the requests that this router has dispatched and not finished, by engine. */
  public DispatchCounts ownCounts() {
    return ranking.ownCounts();
  }

  private Reservation reserve(RankedEngine engine, PlacementRequest request, CandidateOrder order) {
    CandidateOrder.Plan plan = order.plan(engine);
    long uncachedTokens = Math.max(0, request.promptTokens() - plan.cachedTokens());
    engine.tracker().add(clock.millis(), uncachedTokens);
    return new DefaultReservation(
        engine.view().id(),
        engine.view().incarnation(),
        plan.cachedTokens(),
        plan.importFrom(),
        order.outstandingRequestsMax(),
        uncachedTokens,
        engine.tracker(),
        clock);
  }

  private ColtsfootvaleException refusal(PlacementRequest request, List<RankedEngine> live) {
    List<String> ids = new ArrayList<>();
    live.forEach(engine -> ids.add(engine.view().id().value()));
    boolean allOpen = ids.stream().noneMatch(circuits::isClosed);
    if (allOpen) {
      return ColtsfootvaleException.notRun(
          ErrorKind.NO_BACKEND,
          "the circuits of all engines that serve model " + request.model() + " are open",
          RETRY_NO_BACKEND);
    }
    return ColtsfootvaleException.notRun(
        ErrorKind.OVERLOADED,
        "all engines that serve model " + request.model() + " are at their limit",
        RETRY_OVERLOADED);
  }
}
