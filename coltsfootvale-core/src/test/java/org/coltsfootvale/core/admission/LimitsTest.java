package org.coltsfootvale.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class LimitsTest {

  private static final OrganisationId ORGANISATION = new OrganisationId("reserve");
  private static final OrganisationId OTHER = new OrganisationId("museum");
  private static final int ROUTERS = 6;

  private Instant now = Instant.EPOCH;
  private final Map<EngineId, EngineView> engines = new HashMap<>();
  private final List<Router> routers = new ArrayList<>();

  @BeforeMethod
  void reset() {
    now = Instant.parse("2026-01-01T00:00:00Z");
    engines.clear();
    routers.clear();
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(new Router(i));
    }
  }

  private static RouterIncarnation name(int index) {
    return new RouterIncarnation(new RouterId("r" + index), 1);
  }

  private static FleetState state() {
    Map<OrganisationId, OrganisationSpec> organisations = new HashMap<>();
    organisations.put(
        ORGANISATION, new OrganisationSpec(ORGANISATION, List.of("00"), 1, 60, 1_000_000));
    organisations.put(OTHER, new OrganisationSpec(OTHER, List.of("00"), 1, 60, 1_000_000));
    return new FleetState(
        1, organisations, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), PolicySpec.DEFAULT);
  }

  private FleetView view() {
    Map<RouterId, RouterView> views = new HashMap<>();
    for (int i = 0; i < ROUTERS; i++) {
      HostPort address = new HostPort("127.0.0.1", 1000 + i);
      views.put(
          name(i).id(),
          new RouterView(
              name(i), Liveness.LIVE, new DataCentreId("dc"), address, address, null, 1));
    }
    return new FleetView(1, engines, views);
  }

  private void exchangeReports(Set<Integer> unreachable) {
    for (Router router : routers) {
      for (ShareCoordinator.AddressedReport due : router.coordinator.dueReports()) {
        int to = Integer.parseInt(due.to().id().value().substring(1));
        if (!unreachable.contains(to)) {
          ShareGrant grant = routers.get(to).coordinator.onReport(name(router.index), due.report());
          router.coordinator.onGrant(due.to(), grant);
        }
      }
    }
  }

  /** Offers the given requests per second to each router and returns the number admitted. */
  private int run(int seconds, int[] offeredPerSecond, Set<Integer> unreachable) {
    int admitted = 0;
    for (int step = 0; step < seconds * 10; step++) {
      for (Router router : routers) {
        int due = (step + 1) * offeredPerSecond[router.index] / 10;
        int done = step * offeredPerSecond[router.index] / 10;
        for (int i = done; i < due; i++) {
          admitted += router.offer(ORGANISATION) ? 1 : 0;
        }
      }
      now = now.plus(Duration.ofMillis(100));
      if (step % 10 == 9) {
        exchangeReports(unreachable);
      }
    }
    return admitted;
  }

  public void evenDemandOverTheLimitIsCappedAtTheLimit() {
    int[] offered = {40, 40, 40, 40, 40, 40};
    run(10, offered, Set.of());
    int admitted = run(20, offered, Set.of());
    assertEquals(admitted / 20.0, 60, 3);
  }

  public void demandAtASingleRouterGetsTheWholeLimit() {
    int[] offered = {200, 0, 0, 0, 0, 0};
    run(10, offered, Set.of());
    int admitted = run(20, offered, Set.of());
    assertEquals(admitted / 20.0, 60, 3);
  }

  public void demandBelowTheLimitIsNotRefused() {
    int[] offered = {10, 10, 10, 5, 5, 5};
    run(10, offered, Set.of());
    assertEquals(run(20, offered, Set.of()), 45 * 20);
  }

  public void withoutACoordinatorEachRouterFallsBackToAnEqualPart() {
    int[] offered = {200, 0, 0, 0, 0, 0};
    run(10, offered, Set.of());
    Set<Integer> all = new HashSet<>(Set.of(0, 1, 2, 3, 4, 5));
    run(20, offered, all);
    int admitted = run(20, offered, all);
    assertEquals(admitted / 20.0, 10, 1);
  }

  public void aRouterThatIsNotTheCoordinatorGrantsAnEqualPart() {
    int coordinator = coordinator();
    DemandReport report =
        new DemandReport(List.of(new DemandReport.Demand(ORGANISATION, 1000, 1000)));
    for (Router router : routers) {
      double share =
          router.coordinator.onReport(name(0), report).shares().get(0).requestsPerSecond();
      assertEquals(share, router.index == coordinator ? 60 : 10, 1e-6);
    }
  }

  private int coordinator() {
    routers.get(0).offer(ORGANISATION);
    String id = routers.get(0).coordinator.dueReports().get(0).to().id().value();
    return Integer.parseInt(id.substring(1));
  }

  public void aRefusalHasOutcomeNotRunAndARandomisedRetryDelay() {
    Set<Duration> retryDelays = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      try {
        routers.get(0).controller.admit(ORGANISATION, RequestClass.QUICK, 100);
      } catch (ColtsfootvaleException e) {
        assertEquals(e.kind(), ErrorKind.ORGANISATION_LIMIT);
        assertEquals(e.outcome(), Outcome.NOT_RUN);
        retryDelays.add(e.retryAfter().orElseThrow());
      }
    }
    assertTrue(retryDelays.size() > 100, retryDelays.size() + " different times");
  }

  public void anUnknownOrganisationIsForbidden() {
    ColtsfootvaleException error =
        expectThrows(
            ColtsfootvaleException.class,
            () ->
                routers
                    .get(0)
                    .controller
                    .admit(new OrganisationId("unknown"), RequestClass.QUICK, 1));
    assertEquals(error.kind(), ErrorKind.FORBIDDEN);
  }

  public void unusedTokensAreReturned() {
    AdmissionController controller = routers.get(0).controller;
    for (int i = 0; i < 4; i++) {
      controller.admit(ORGANISATION, RequestClass.QUICK, 500_000).finish(0);
    }
    expectThrows(
        ColtsfootvaleException.class,
        () -> {
          for (int i = 0; i < 4; i++) {
            controller.admit(OTHER, RequestClass.QUICK, 500_000);
          }
        });
  }

  public void whileTheFleetIsSaturatedASurgeDoesNotStarveASmallOrganisation() {
    EngineId engine = new EngineId("e0");
    EngineLoad load = new EngineLoad(100, 0, 0, now);
    engines.put(engine, new EngineView(engine, 1, Liveness.LIVE, now, load, 1));
    Router router = routers.get(0);
    int[] small = new int[1];
    int[] surge = new int[1];
    for (int step = 0; step < 400; step++) {
      for (int i = 0; i < 5; i++) {
        surge[0] += router.offer(ORGANISATION) ? 1 : 0;
      }
      small[0] += step % 10 == 0 && router.offer(OTHER) ? 1 : 0;
      now = now.plus(Duration.ofMillis(100));
    }
    assertEquals(small[0], 40);
    assertTrue(surge[0] < 2000, surge[0] + " of the surge");
  }

  private final class Router {

    private final int index;
    private final DefaultShareCoordinator coordinator;
    private final DefaultAdmissionController controller;

    Router(int index) {
      this.index = index;
      DemandMeter meter = new DemandMeter(() -> now);
      this.coordinator =
          new DefaultShareCoordinator(
              name(index),
              LimitsTest::state,
              LimitsTest.this::view,
              meter,
              () -> now,
              AdmissionOptions.DEFAULT);
      this.controller =
          new DefaultAdmissionController(
              LimitsTest::state,
              LimitsTest.this::view,
              coordinator,
              meter,
              () -> now,
              AdmissionOptions.DEFAULT,
              index);
    }

    boolean offer(OrganisationId organisation) {
      try {
        controller.admit(organisation, RequestClass.QUICK, 100).finish(100);
        return true;
      } catch (ColtsfootvaleException e) {
        return false;
      }
    }
  }
}
