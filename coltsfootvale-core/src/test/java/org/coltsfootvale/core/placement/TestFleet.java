package org.coltsfootvale.core.placement;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.retry.CircuitOptions;
import org.coltsfootvale.core.retry.DefaultCircuitBreakers;

/** A fleet of engines e0, e1, ... that serve one model, and a selector over it. */
final class TestFleet {

  static final ModelId MODEL = new ModelId("m");
  static final OrganisationId ORGANISATION = new OrganisationId("reserve");

  final ManualClock clock = new ManualClock();
  final Map<EngineId, EngineView> engines = new TreeMap<>();
  final DefaultCircuitBreakers circuits =
      new DefaultCircuitBreakers(CircuitOptions.DEFAULT, clock, 1);
  final EngineSelector selector;
  PeerLoads peers = PeerLoads.UNKNOWN;
  private FleetState state;

  TestFleet(int engineCount) {
    Map<EngineId, EngineSpec> specs = new HashMap<>();
    for (int i = 0; i < engineCount; i++) {
      EngineId id = engine(i);
      specs.put(id, spec(id));
      set(id, Liveness.LIVE, clock.instant());
    }
    state =
        new FleetState(
            1, Map.of(), Map.of(), Map.of(), specs, Map.of(), Map.of(), PolicySpec.DEFAULT);
    selector =
        new DefaultEngineSelector(
            () -> state,
            () -> new FleetView(1, engines, Map.of()),
            engine -> peers.countAt(engine),
            circuits,
            clock,
            PlacementOptions.DEFAULT);
    clock.advance(Duration.ofMinutes(10));
  }

  static EngineId engine(int index) {
    return new EngineId("e" + index);
  }

  static PlacementRequest request(String chat) {
    return request(chat, null);
  }

  static PlacementRequest request(
      String chat, @org.jspecify.annotations.Nullable CacheHint hint, EngineId... excluded) {
    return new PlacementRequest(
        ORGANISATION, MODEL, RequestClass.REPORT, chat, 4000, 100, hint, Set.of(excluded));
  }

  void set(EngineId id, Liveness liveness, Instant liveSince) {
    engines.put(id, new EngineView(id, 1, liveness, liveSince, null, 1));
  }

  void report(EngineId id, int outstandingRequests, long queuedTokens) {
    EngineLoad load = new EngineLoad(outstandingRequests, queuedTokens, 0, clock.instant());
    Instant liveSince = clock.instant().minus(Duration.ofMinutes(5));
    engines.put(id, new EngineView(id, 1, Liveness.LIVE, liveSince, load, 1));
  }

  private static EngineSpec spec(EngineId id) {
    return new EngineSpec(
        id,
        new PoolId("p"),
        URI.create("http://127.0.0.1:1"),
        new DataCentreId("dc"),
        List.of(MODEL),
        10_000,
        true);
  }
}
