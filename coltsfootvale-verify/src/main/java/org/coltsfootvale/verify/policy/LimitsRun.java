package org.coltsfootvale.verify.policy;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.admission.AdmissionOptions;
import org.coltsfootvale.core.admission.DefaultAdmissionController;
import org.coltsfootvale.core.admission.DefaultShareCoordinator;
import org.coltsfootvale.core.admission.DemandMeter;
import org.coltsfootvale.core.admission.ShareCoordinator;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OrganisationSpec;
import org.coltsfootvale.core.release.PolicySpec;

/**
 * Sends the requests of one organisation to simulated routers and compares the number admitted with
 * the exact limit, over windows of five seconds.
 */
final class LimitsRun {

  private static final OrganisationId ORGANISATION = new OrganisationId("org");
  private static final int STEP_MILLIS = 20;
  private static final int REPORT_MILLIS = 1_000;
  private static final int WINDOW_MILLIS = 5_000;
  private static final int WARM_UP_MILLIS = 10_000;
  private static final int DURATION_MILLIS = 130_000;
  private static final int SHIFT_MILLIS = 10_000;
  private static final long TOKENS = 100;

  private final int routerCount;
  private final double limitPerSecond;
  private final Scenario scenario;
  private final UniformRandomProvider random;
  private final FleetState state;
  private final List<Router> routers = new ArrayList<>();
  private int nowMillis;

  LimitsRun(int routerCount, double limitPerSecond, Scenario scenario, long seed) {
    this.routerCount = routerCount;
    this.limitPerSecond = limitPerSecond;
    this.scenario = scenario;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    OrganisationSpec organisation =
        new OrganisationSpec(ORGANISATION, List.of("00"), 1, limitPerSecond, limitPerSecond * 1e6);
    this.state =
        new FleetState(
            1,
            Map.of(ORGANISATION, organisation),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            PolicySpec.DEFAULT);
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(i, seed));
    }
  }

  /** Demand and connectivity of the routers during a run. */
  enum Scenario {
    /** Half of the limit, spread evenly over all routers. */
    BELOW(0.5),
    /** Twice the limit, spread evenly over all routers. */
    ABOVE(2),
    /** Twice the limit, at one sixth of the routers, which changes every ten seconds. */
    SHIFTING(2),
    /** Twice the limit; the view of each router lacks a random sixth of the others. */
    DISAGREEING(2),
    /** Twice the limit; the views of two halves of the fleet lack each other. */
    SPLIT(2),
    /** Twice the limit; no demand report reaches another router. */
    UNREACHABLE(2);

    private final double demandFactor;

    Scenario(double demand) {
      this.demandFactor = demand;
    }
  }

  /** Relative errors against the exact limit: the mean and the extremes over all windows. */
  record Errors(double mean, double lowest, double highest) {}

  /** Runs the scenario and returns the errors. */
  Errors run() {
    List<Double> errors = new ArrayList<>();
    double exact = Math.min(1, scenario.demandFactor) * limitPerSecond * WINDOW_MILLIS / 1000;
    int admitted = 0;
    while (nowMillis < DURATION_MILLIS) {
      admitted += sendRequests();
      nowMillis += STEP_MILLIS;
      if (nowMillis % REPORT_MILLIS == 0) {
        exchangeReports();
      }
      if (nowMillis % WINDOW_MILLIS == 0) {
        if (nowMillis > WARM_UP_MILLIS) {
          errors.add(admitted / exact - 1);
        }
        admitted = 0;
      }
    }
    double mean = errors.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    double lowest = errors.stream().mapToDouble(Double::doubleValue).min().orElse(0);
    double highest = errors.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    return new Errors(mean, lowest, highest);
  }

  private int sendRequests() {
    double expected = scenario.demandFactor * limitPerSecond * STEP_MILLIS / 1000;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    int admitted = 0;
    for (int i = 0; i < count; i++) {
      admitted += routers.get(selectRouter()).tryAdmit() ? 1 : 0;
    }
    return admitted;
  }

  private int selectRouter() {
    if (scenario != Scenario.SHIFTING) {
      return random.nextInt(routerCount);
    }
    int groupSize = Math.max(1, routerCount / 6);
    int first = nowMillis / SHIFT_MILLIS * groupSize;
    return (first + random.nextInt(groupSize)) % routerCount;
  }

  private void exchangeReports() {
    for (Router router : routers) {
      for (ShareCoordinator.AddressedReport due : router.coordinator.dueReports()) {
        Router to = routers.get(DelayedViews.routerIndex(due.to()));
        if (scenario != Scenario.UNREACHABLE || to == router) {
          router.coordinator.onGrant(due.to(), to.coordinator.onReport(router.name, due.report()));
        }
      }
    }
  }

  private FleetView view(int router) {
    Map<RouterId, RouterView> views = new HashMap<>();
    Set<Integer> visible = new HashSet<>();
    for (int i = 0; i < routerCount; i++) {
      if (i == router || isVisible(router, i)) {
        visible.add(i);
      }
    }
    HostPort address = new HostPort("127.0.0.1", 1);
    DataCentreId dataCentre = new DataCentreId("dc");
    for (int i : visible) {
      RouterIncarnation identity = DelayedViews.routerIdentity(i);
      views.put(
          identity.id(),
          new RouterView(identity, Liveness.LIVE, dataCentre, address, address, null, 1));
    }
    return new FleetView(1, Map.of(), views);
  }

  private boolean isVisible(int router, int other) {
    return switch (scenario) {
      case SPLIT -> router % 2 == other % 2;
      case DISAGREEING -> random.nextInt(6) > 0;
      default -> true;
    };
  }

  private final class Router {

    private final RouterIncarnation name;
    private final DefaultShareCoordinator coordinator;
    private final DefaultAdmissionController controller;

    Router(int index, long seed) {
      name = DelayedViews.routerIdentity(index);
      FleetView view = view(index);
      DemandMeter meter = new DemandMeter(this::now);
      coordinator =
          new DefaultShareCoordinator(
              name, () -> state, () -> view, meter, this::now, AdmissionOptions.DEFAULT);
      controller =
          new DefaultAdmissionController(
              () -> state,
              () -> view,
              coordinator,
              meter,
              this::now,
              AdmissionOptions.DEFAULT,
              seed + index);
    }

    private Instant now() {
      return VirtualTime.at(nowMillis);
    }

    boolean tryAdmit() {
      try {
        controller.admit(ORGANISATION, RequestClass.QUICK, TOKENS).finish(TOKENS);
        return true;
      } catch (ColtsfootvaleException e) {
        return false;
      }
    }
  }
}
