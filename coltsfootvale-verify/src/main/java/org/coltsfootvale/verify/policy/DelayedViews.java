package org.coltsfootvale.verify.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.jspecify.annotations.Nullable;

/**
 * Provides delayed, inconsistent fleet views: each group of routers observes the state and load of
 * each engine after a delay of its own.
 */
final class DelayedViews {

  private static final double REFRESH_MILLIS = 250;
  private static final double LOAD_LAG_MILLIS = 2_000;
  private static final double LOAD_LAG_SPREAD_MILLIS = 500;
  private static final double LIVENESS_LAG_MIN_MILLIS = 200;
  private static final double LIVENESS_LAG_SPREAD_MILLIS = 1_300;

  private final SimulatedFleet fleet;
  private final VirtualTime time;
  private final FleetSize size;
  private final List<Deque<EngineLoad>> samples = new ArrayList<>();
  private final List<List<State>> states = new ArrayList<>();
  private final double[][] loadLagMillis;
  private final double[][] reportOffsetMillis;
  private final double[][] livenessLagMillis;
  private final FleetView[] views;
  private final Map<RouterId, RouterView> routers = new HashMap<>();
  private long version;
  private long reportsReceived;

  DelayedViews(SimulatedFleet fleet, VirtualTime time, FleetSize size, long seed) {
    this.fleet = fleet;
    this.time = time;
    this.size = size;
    int groups = size.viewGroups();
    int engines = size.engines();
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 17);
    loadLagMillis = new double[groups][engines];
    reportOffsetMillis = new double[groups][engines];
    livenessLagMillis = new double[groups][engines];
    views = new FleetView[groups];
    for (int group = 0; group < groups; group++) {
      for (int engine = 0; engine < engines; engine++) {
        reportOffsetMillis[group][engine] = size.reportPeriodMillis() * random.nextDouble();
        double spread = LOAD_LAG_SPREAD_MILLIS * (2 * random.nextDouble() - 1);
        loadLagMillis[group][engine] = LOAD_LAG_MILLIS + spread;
        livenessLagMillis[group][engine] =
            LIVENESS_LAG_MIN_MILLIS + LIVENESS_LAG_SPREAD_MILLIS * random.nextDouble();
      }
    }
    for (SimulatedEngine engine : fleet.engines()) {
      samples.add(new ArrayDeque<>());
      states.add(new ArrayList<>(List.of(new State(-1e9, Liveness.LIVE, engine.incarnation()))));
    }
    for (int i = 0; i < size.routers(); i++) {
      routers.put(routerIdentity(i).id(), routerView(routerIdentity(i)));
    }
    refresh();
  }

  /** Returns the identity of the router with an index. */
  static RouterIncarnation routerIdentity(int router) {
    return new RouterIncarnation(new RouterId("router-" + router), 1);
  }

  /** Returns the index of a router from its identity. */
  static int routerIndex(RouterIncarnation router) {
    return Integer.parseInt(router.id().value().substring("router-".length()));
  }

  private static RouterView routerView(RouterIncarnation router) {
    HostPort address = new HostPort("127.0.0.1", 1);
    DataCentreId dataCentre = new DataCentreId("dc");
    return new RouterView(router, Liveness.LIVE, dataCentre, address, address, null, 1);
  }

  /** Returns the delayed view of a router. */
  FleetView view(int router) {
    return views[router % views.length];
  }

  /** Returns a view with the current state and load of every engine. */
  FleetView actualView() {
    Map<EngineId, EngineView> engines = new HashMap<>();
    for (int engine = 0; engine < samples.size(); engine++) {
      SimulatedEngine source = fleet.engines().get(engine);
      List<State> history = states.get(engine);
      double sinceMillis = history.get(history.size() - 1).sinceMillis();
      engines.put(source.id(), engineView(source, sinceMillis));
    }
    return new FleetView(0, engines, routers);
  }

  private EngineView engineView(SimulatedEngine engine, double sinceMillis) {
    EngineLoad load =
        new EngineLoad(engine.outstandingRequests(), engine.queuedTokens(), 0, time.instant());
    return new EngineView(
        engine.id(), engine.incarnation(), engine.liveness(), VirtualTime.at(sinceMillis), load, 1);
  }

  /** Returns the mean number of load reports received by a router. */
  double reportsReceivedPerRouter() {
    return (double) reportsReceived / views.length;
  }

  /** Records a state change of an engine; the views show it after their delay. */
  void onEngineChange(int engine) {
    SimulatedEngine changed = fleet.engines().get(engine);
    states.get(engine).add(new State(time.now(), changed.liveness(), changed.incarnation()));
  }

  private void refresh() {
    for (int engine = 0; engine < samples.size(); engine++) {
      SimulatedEngine source = fleet.engines().get(engine);
      Deque<EngineLoad> history = samples.get(engine);
      history.addLast(
          new EngineLoad(source.outstandingRequests(), source.queuedTokens(), 0, time.instant()));
      while (history.size() > 2 + (3_000 + size.reportPeriodMillis()) / REFRESH_MILLIS) {
        history.removeFirst();
      }
    }
    version++;
    for (int group = 0; group < views.length; group++) {
      views[group] = buildView(group);
    }
    time.schedule(time.now() + REFRESH_MILLIS, this::refresh);
  }

  private FleetView buildView(int group) {
    Map<EngineId, EngineView> engines = new HashMap<>();
    for (int engine = 0; engine < samples.size(); engine++) {
      EngineId id = fleet.engines().get(engine).id();
      State state = observedState(engine, time.now() - livenessLagMillis[group][engine]);
      @Nullable EngineLoad load = observedReport(group, engine);
      engines.put(
          id,
          new EngineView(
              id,
              state.incarnation(),
              state.liveness(),
              VirtualTime.at(state.sinceMillis()),
              load,
              1));
    }
    return new FleetView(version, engines, routers);
  }

  private State observedState(int engine, double timeMillis) {
    List<State> history = states.get(engine);
    for (int i = history.size() - 1; i > 0; i--) {
      if (history.get(i).sinceMillis() <= timeMillis) {
        return history.get(i);
      }
    }
    return history.get(0);
  }

  /**
   * Returns the newest report that has reached the group, or null; reports are sent once a period.
   */
  private @Nullable EngineLoad observedReport(int group, int engine) {
    double period = size.reportPeriodMillis();
    double lag = loadLagMillis[group][engine];
    double offset = reportOffsetMillis[group][engine];
    double sentAt = Math.floor((time.now() - lag - offset) / period) * period + offset;
    if (sentAt <= 0) {
      return null;
    }
    long limit = VirtualTime.at(sentAt).toEpochMilli();
    @Nullable EngineLoad newest = null;
    for (EngineLoad sample : samples.get(engine)) {
      if (sample.reportedAt().toEpochMilli() <= limit) {
        newest = sample;
      }
    }
    boolean fresh = time.now() - lag - sentAt < REFRESH_MILLIS;
    reportsReceived += fresh ? 1 : 0;
    return newest;
  }

  private record State(double sinceMillis, Liveness liveness, long incarnation) {}
}
