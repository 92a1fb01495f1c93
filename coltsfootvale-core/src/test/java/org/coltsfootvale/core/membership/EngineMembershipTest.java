package org.coltsfootvale.core.membership;

import static org.coltsfootvale.core.membership.MembershipFixture.ENGINE;
import static org.coltsfootvale.core.membership.MembershipFixture.PEER;
import static org.coltsfootvale.core.membership.MembershipFixture.engine;
import static org.coltsfootvale.core.membership.MembershipFixture.engineLiveness;
import static org.coltsfootvale.core.membership.MembershipFixture.listed;
import static org.coltsfootvale.core.membership.MembershipFixture.router;
import static org.coltsfootvale.core.membership.MembershipFixture.state;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.coltsfootvale.core.gossip.EntryStore.MergeResult;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.Liveness;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class EngineMembershipTest {

  private MembershipFixture fixture = new MembershipFixture();
  private DefaultMembership membership = fixture.membership("self");

  @BeforeMethod
  public void createMembership() {
    fixture = new MembershipFixture();
    membership = fixture.membership("self");
    assertEquals(membership.observedEngines(), List.of(ENGINE));
    report(5, false);
  }

  @DataProvider
  public Object[][] leavingSources() {
    Consumer<DefaultMembership> hostList =
        target ->
            target.onHostList(
                listed(ListedHost.Kind.ENGINE, "engine", true), fixture.clock.instant());
    Consumer<DefaultMembership> ownReport =
        target -> target.onEngineReport(ENGINE, 5, true, fixture.load(1));
    Consumer<DefaultMembership> refusal = target -> target.onEngineLeaving(ENGINE);
    Consumer<DefaultMembership> peer = target -> target.merge(PEER, engine(5, 1, Liveness.LEAVING));
    return new Object[][] {
      {"host list", hostList}, {"own report", ownReport}, {"refusal", refusal}, {"gossip", peer}
    };
  }

  @Test(dataProvider = "leavingSources")
  public void engineReportedLeavingByAnySourceStaysLeaving(
      String source, Consumer<DefaultMembership> input) {
    assertEquals(engineLiveness(membership), Liveness.LIVE, source);

    input.accept(membership);
    assertEquals(engineLiveness(membership), Liveness.LEAVING, source);
    report(5, false);
    membership.merge(PEER, engine(5, Long.MAX_VALUE / 2, Liveness.LIVE));
    membership.onHostList(listed(ListedHost.Kind.ENGINE, "engine", false), fixture.clock.instant());

    assertEquals(engineLiveness(membership), Liveness.LEAVING, source);
  }

  @Test
  public void restartedEngineIsLiveAgain() {
    membership.onEngineLeaving(ENGINE);

    report(6, false);

    assertEquals(engineLiveness(membership), Liveness.LIVE);
    assertEquals(
        membership.merge(PEER, engine(5, Long.MAX_VALUE / 2, Liveness.LEAVING)), MergeResult.STALE);
  }

  @Test
  public void unresponsiveEngineIsSuspectedAndThenDead() {
    membership.onEngineSilent(ENGINE);
    membership.onEngineSilent(ENGINE);
    assertEquals(engineLiveness(membership), Liveness.SUSPECT);

    fixture.advanceTicking(MembershipOptions.DEFAULT.engineDeadTimeout(), membership);

    assertEquals(engineLiveness(membership), Liveness.DEAD);
  }

  @Test
  public void recentAnswerContradictsTheSuspicionOfAPeer() {
    long version = Long.MAX_VALUE / 4;

    membership.merge(PEER, engine(5, version, Liveness.SUSPECT));

    assertEquals(engineLiveness(membership), Liveness.LIVE);
  }

  @Test
  public void flappingEngineIsSuspectUntilItIsStable() {
    for (int flap = 0; flap < 3; flap++) {
      membership.onEngineSilent(ENGINE);
      membership.onEngineSilent(ENGINE);
      fixture.advanceTicking(Duration.ofMillis(500), membership);
      report(5, false);
    }
    assertEquals(engineLiveness(membership), Liveness.SUSPECT);

    fixture.advanceTicking(Duration.ofMinutes(1), membership);
    report(5, false);

    assertEquals(engineLiveness(membership), Liveness.LIVE);
  }

  @Test
  public void routerThatDoesNotObserveAnEngineAvoidsItTemporarily() {
    for (int index = 0; index < 40; index++) {
      membership.merge(PEER, router("r" + index, 200, 1, Liveness.LIVE));
    }
    EngineId other = engineNotObserved();
    membership.onEngineReport(other, 1, false, fixture.load(1));

    membership.onEngineSilent(other);
    membership.onEngineSilent(other);
    Liveness avoided = liveness(other);
    fixture.advanceTicking(MembershipOptions.DEFAULT.localSuspicion(), membership);

    assertEquals(avoided, Liveness.SUSPECT);
    assertEquals(liveness(other), Liveness.LIVE);
  }

  @Test
  public void eachEngineHasTwoObserversOnWhichAllRoutersAgree() {
    int observers = 0;
    for (String name : List.of("a", "b", "c", "d")) {
      DefaultMembership one = fixture.membership(name);
      for (String other : List.of("a", "b", "c", "d")) {
        one.merge(PEER, router(other, 100, 1, Liveness.LIVE));
      }
      observers += one.observedEngines().size();
    }

    assertEquals(observers, 2);
  }

  @Test
  public void leavingRouterObservesNoEngineWhileOthersCan() {
    membership.merge(PEER, router("a", 200, 1, Liveness.LIVE));
    membership.merge(PEER, router("b", 200, 1, Liveness.LIVE));

    membership.leave();

    assertTrue(membership.observedEngines().isEmpty());
  }

  @Test
  public void withdrawnEngineIsRemovedAndNotAddedAgainByOlderInput() {
    membership.onFleetState(state(2));

    MergeResult result = membership.merge(PEER, engine(5, 1, Liveness.LIVE));
    membership.onFleetState(state(1, ENGINE));

    assertEquals(result, MergeResult.IGNORED);
    assertFalse(membership.view().engines().containsKey(ENGINE));
  }

  @Test
  public void olderLoadReportDoesNotReplaceANewerOne() {
    membership.merge(
        PEER,
        new org.coltsfootvale.core.gossip.GossipEntry.EngineEntry(
            ENGINE, 5, Long.MAX_VALUE / 2, Liveness.LIVE, 40, 0, 0, 1_500));

    var load = Objects.requireNonNull(membership.view().engines().get(ENGINE)).load();

    assertEquals(Objects.requireNonNull(load).outstandingRequests(), 1);
  }

  @Test
  public void missingWeightsDefaultToOne() {
    membership.onWeights(Map.of(ENGINE, 0.5));
    assertEquals(Objects.requireNonNull(membership.view().engines().get(ENGINE)).weight(), 0.5);

    membership.onWeights(Map.of());

    assertEquals(Objects.requireNonNull(membership.view().engines().get(ENGINE)).weight(), 1.0);
  }

  private void report(long incarnation, boolean leaving) {
    membership.onEngineReport(ENGINE, incarnation, leaving, fixture.load(1));
  }

  private EngineId engineNotObserved() {
    EngineId[] ids = new EngineId[20];
    for (int index = 0; index < ids.length; index++) {
      ids[index] = new EngineId("e" + index);
    }
    membership.onFleetState(state(2, ids));
    List<EngineId> observed = membership.observedEngines();
    return List.of(ids).stream().filter(id -> !observed.contains(id)).findFirst().orElseThrow();
  }

  private Liveness liveness(EngineId id) {
    return Objects.requireNonNull(membership.view().engines().get(id)).liveness();
  }
}
