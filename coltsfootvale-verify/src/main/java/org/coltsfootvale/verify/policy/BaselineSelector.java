package org.coltsfootvale.verify.policy;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.placement.EngineSelector;
import org.coltsfootvale.core.placement.PlacementRequest;
import org.coltsfootvale.core.placement.Reservation;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.jspecify.annotations.Nullable;

/** Selector of a baseline policy, which applies a rule to the live engines. */
final class BaselineSelector implements EngineSelector {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final Supplier<FleetView> view;
  private final CircuitBreakers circuits;
  private final InstantSource clock;
  private final SelectionRule rule;
  private List<EngineView> sorted = List.of();
  private long sortedVersion = -1;
  private final Map<EngineId, Deque<Long>> dispatchesMillis = new HashMap<>();

  BaselineSelector(
      Supplier<FleetView> view, CircuitBreakers circuits, InstantSource clock, SelectionRule rule) {
    this.view = view;
    this.circuits = circuits;
    this.clock = clock;
    this.rule = rule;
  }

  @Override
  public Reservation select(PlacementRequest request) {
    List<EngineView> live = new ArrayList<>(liveEngines());
    live.removeIf(engine -> request.excluded().contains(engine.id()));
    while (!live.isEmpty()) {
      EngineView chosen = rule.select(request, live, this::estimatedLoad);
      if (circuits.tryAcquire(chosen.id().value())) {
        dispatchesMillis
            .computeIfAbsent(chosen.id(), id -> new ArrayDeque<>())
            .addLast(clock.millis());
        return new BaselineReservation(chosen);
      }
      live.remove(chosen);
    }
    throw ColtsfootvaleException.notRun(ErrorKind.NO_BACKEND, "no live engine", RETRY_AFTER);
  }

  /** Returns the live engines sorted by id. */
  private List<EngineView> liveEngines() {
    FleetView current = view.get();
    if (current.version() != sortedVersion || current.version() == 0) {
      sorted =
          current.engines().values().stream()
              .filter(engine -> engine.liveness() == Liveness.LIVE)
              .sorted(Comparator.comparing(EngineView::id))
              .toList();
      sortedVersion = current.version();
    }
    return sorted;
  }

  /** Returns the newest reported load plus this router's dispatches since that report. */
  private double estimatedLoad(EngineView engine) {
    @Nullable EngineLoad load = engine.load();
    if (load == null) {
      return 0;
    }
    Deque<Long> dispatches =
        dispatchesMillis.computeIfAbsent(engine.id(), id -> new ArrayDeque<>());
    long reportedAtMillis = load.reportedAt().toEpochMilli();
    while (!dispatches.isEmpty() && dispatches.getFirst() < reportedAtMillis) {
      dispatches.removeFirst();
    }
    return load.outstandingRequests() + dispatches.size();
  }

  /** Rule that selects an engine. */
  @FunctionalInterface
  interface SelectionRule {

    /** Selects one of the live engines, which are sorted by id. */
    EngineView select(PlacementRequest request, List<EngineView> live, LoadEstimate estimate);
  }

  /** Estimates the outstanding requests of engines. */
  @FunctionalInterface
  interface LoadEstimate {

    /** Returns the estimated number of outstanding requests of an engine. */
    double outstandingRequests(EngineView engine);
  }

  private record BaselineReservation(EngineView view) implements Reservation {

    @Override
    public EngineId engine() {
      return view.id();
    }

    @Override
    public long engineIncarnation() {
      return view.incarnation();
    }

    @Override
    public int cachedTokensExpected() {
      return 0;
    }

    @Override
    public @Nullable EngineId importFrom() {
      return null;
    }

    @Override
    public void onPrefilled() {}

    @Override
    public void onGenerated(int tokens) {}

    @Override
    public void release() {}
  }
}
