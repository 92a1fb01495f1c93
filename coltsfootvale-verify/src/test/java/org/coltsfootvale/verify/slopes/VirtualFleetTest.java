package org.coltsfootvale.verify.slopes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterView;
import org.testng.annotations.Test;

public final class VirtualFleetTest {

  private static final long SEED = 11;
  private static final FleetShape SMALL = new FleetShape(8, 8, 4, 2);
  private static final FleetShape MIDDLE = new FleetShape(24, 24, 4, 2);
  private static final Duration SETTLING = Duration.ofSeconds(30);
  private static final Duration LEAVING_MAX = Duration.ofSeconds(3);
  private static final Duration REVISION_MAX = Duration.ofSeconds(2);

  @Test
  public void routersDiscoverEachOtherFromSeedsWhileThePlatformIsDown() {
    VirtualFleet fleet = new VirtualFleet(MIDDLE, GossipFactory.mesh(), SEED);

    fleet.time().advance(SETTLING);

    assertEverywhere(fleet, view -> allRoutersAre(view, MIDDLE.routers(), Liveness.LIVE));
    assertEverywhere(fleet, view -> allEnginesAre(view, Liveness.LIVE));
  }

  @Test
  public void aReleaseRevisionIsAppliedEverywhereInTime() {
    VirtualFleet fleet = settled(MIDDLE);

    fleet.publishRevision(fleet.routers().get(5));
    fleet.time().advance(REVISION_MAX);

    for (VirtualRouter router : fleet.routers()) {
      assertEquals(router.membership().appliedRevision(), 2);
    }
  }

  @Test
  public void aLeavingEngineIsObservedEverywhereInTimeAndStaysLeaving() {
    VirtualFleet fleet = settled(MIDDLE);
    EngineId engine = fleet.engineIds().get(3);

    fleet.startLeaving(engine);
    fleet.time().advance(LEAVING_MAX);
    assertEverywhere(fleet, view -> engine(view, engine).liveness() == Liveness.LEAVING);
    fleet.engine(engine).leaving = false;

    for (int second = 0; second < 30; second++) {
      fleet.time().advance(Duration.ofSeconds(1));
      assertEverywhere(fleet, view -> engine(view, engine).liveness() == Liveness.LEAVING);
    }
  }

  @Test
  public void aKilledRouterIsDeadEverywhereAndItsEnginesAreStillObserved() {
    VirtualFleet fleet = settled(MIDDLE);
    VirtualRouter killed = fleet.routers().get(7);

    killed.kill();
    fleet.time().advance(Duration.ofSeconds(20));

    assertEverywhere(fleet, view -> router(view, killed).liveness() == Liveness.DEAD);
    for (VirtualRouter router : running(fleet)) {
      for (EngineView engine : router.membership().view().engines().values()) {
        assertEquals(engine.liveness(), Liveness.LIVE);
      }
    }
  }

  @Test
  public void aReplacedRouterIsLiveUnderItsNewIncarnationEverywhere() {
    VirtualFleet fleet = settled(MIDDLE);

    VirtualRouter replacement = fleet.startRouter(7);
    fleet.time().advance(Duration.ofSeconds(15));

    assertEverywhere(
        fleet,
        view ->
            router(view, replacement).router().equals(replacement.router)
                && router(view, replacement).liveness() == Liveness.LIVE);
    assertEquals(replacement.membership().view().routers().size(), MIDDLE.routers());
  }

  @Test
  public void aOneWayPartitionMarksNoRouterDead() {
    VirtualFleet fleet = settled(MIDDLE);
    DataCentreId from = MIDDLE.dataCentre(0);
    DataCentreId to = MIDDLE.dataCentre(2);

    fleet.partition((sender, receiver) -> sender.equals(from) && receiver.equals(to));

    for (int second = 0; second < 120; second++) {
      fleet.time().advance(Duration.ofSeconds(1));
      assertEverywhere(fleet, VirtualFleetTest::noRouterIsDead);
    }
  }

  @Test
  public void aPartitionedRegionRecoversAfterAnHour() {
    VirtualFleet fleet = settled(SMALL);

    fleet.partition((one, other) -> !FleetShape.region(one).equals(FleetShape.region(other)));
    fleet.time().advance(Duration.ofHours(1));
    for (VirtualRouter router : fleet.routers()) {
      assertTrue(
          liveRouters(router) <= SMALL.routers() / 2,
          "a router behind the partition is still live");
    }
    fleet.partition((one, other) -> false);
    fleet.time().advance(Duration.ofSeconds(90));

    assertEverywhere(fleet, view -> allRoutersAre(view, SMALL.routers(), Liveness.LIVE));
    assertEverywhere(fleet, view -> allEnginesAre(view, Liveness.LIVE));
  }

  private static VirtualFleet settled(FleetShape shape) {
    VirtualFleet fleet = new VirtualFleet(shape, GossipFactory.mesh(), SEED);
    fleet.time().advance(SETTLING);
    return fleet;
  }

  private static List<VirtualRouter> running(VirtualFleet fleet) {
    return fleet.routers().stream().filter(router -> router.running).toList();
  }

  private static void assertEverywhere(VirtualFleet fleet, Predicate<FleetView> condition) {
    for (VirtualRouter router : running(fleet)) {
      FleetView view = router.membership().view();
      assertTrue(condition.test(view), router.id() + " has the view " + view);
    }
  }

  private static boolean allRoutersAre(FleetView view, int count, Liveness liveness) {
    return view.routers().size() == count
        && view.routers().values().stream().allMatch(router -> router.liveness() == liveness);
  }

  private static boolean noRouterIsDead(FleetView view) {
    return view.routers().values().stream().noneMatch(router -> router.liveness() == Liveness.DEAD);
  }

  private static boolean allEnginesAre(FleetView view, Liveness liveness) {
    return view.engines().values().stream().allMatch(engine -> engine.liveness() == liveness);
  }

  private static long liveRouters(VirtualRouter router) {
    Map<?, RouterView> routers = router.membership().view().routers();
    return routers.values().stream().filter(view -> view.liveness() == Liveness.LIVE).count();
  }

  private static RouterView router(FleetView view, VirtualRouter router) {
    return Objects.requireNonNull(view.routers().get(router.id()));
  }

  private static EngineView engine(FleetView view, EngineId engine) {
    return Objects.requireNonNull(view.engines().get(engine));
  }
}
