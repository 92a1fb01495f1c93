package org.coltsfootvale.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RequestClass;
import org.testng.annotations.Test;

@Test
public class DefaultEngineSelectorTest {

  private static EngineId choose(TestFleet fleet, PlacementRequest request) {
    Reservation reservation = fleet.selector.select(request);
    reservation.release();
    return reservation.engine();
  }

  public void allRoutersRankTheEnginesOfAChatEqually() {
    TestFleet first = new TestFleet(8);
    TestFleet second = new TestFleet(8);
    for (int chat = 0; chat < 100; chat++) {
      PlacementRequest request = TestFleet.request("chat" + chat);
      assertEquals(choose(first, request), choose(second, request));
    }
  }

  public void aDeadEngineMovesOnlyItsOwnChats() {
    TestFleet fleet = new TestFleet(8);
    Map<String, EngineId> before = new HashMap<>();
    for (int chat = 0; chat < 400; chat++) {
      before.put("chat" + chat, choose(fleet, TestFleet.request("chat" + chat)));
    }
    EngineId lost = TestFleet.engine(3);
    fleet.set(lost, Liveness.DEAD, fleet.clock.instant());
    before.forEach(
        (chat, engine) -> {
          EngineId after = choose(fleet, TestFleet.request(chat));
          assertEquals(after.equals(engine), !engine.equals(lost), chat);
        });
  }

  public void aLeavingEngineReceivesNoNewWork() {
    TestFleet fleet = new TestFleet(2);
    fleet.set(TestFleet.engine(0), Liveness.LEAVING, fleet.clock.instant());
    for (int chat = 0; chat < 50; chat++) {
      assertEquals(choose(fleet, TestFleet.request("chat" + chat)), TestFleet.engine(1));
    }
  }

  public void theHintedEngineIsChosenOverTheRanking() {
    TestFleet fleet = new TestFleet(8);
    EngineId ranked = choose(fleet, TestFleet.request("diary"));
    EngineId other = ranked.equals(TestFleet.engine(0)) ? TestFleet.engine(1) : TestFleet.engine(0);
    CacheHint hint = new CacheHint(other, 1, 3900, fleet.clock.instant());
    Reservation reservation = fleet.selector.select(TestFleet.request("diary", hint));
    assertEquals(reservation.engine(), other);
    assertEquals(reservation.cachedTokensExpected(), 3900);
  }

  public void aHintOfAnEarlierIncarnationIsIgnored() {
    TestFleet fleet = new TestFleet(8);
    EngineId ranked = choose(fleet, TestFleet.request("diary"));
    EngineId other = ranked.equals(TestFleet.engine(0)) ? TestFleet.engine(1) : TestFleet.engine(0);
    CacheHint hint = new CacheHint(other, 7, 3900, fleet.clock.instant());
    Reservation reservation = fleet.selector.select(TestFleet.request("diary", hint));
    assertEquals(reservation.engine(), ranked);
    assertEquals(reservation.cachedTokensExpected(), 0);
  }

  public void anOverloadedHintedEngineIsAvoidedAndItsCacheImported() {
    TestFleet fleet = new TestFleet(4);
    EngineId hinted = TestFleet.engine(2);
    fleet.report(hinted, 40, 0);
    CacheHint hint = new CacheHint(hinted, 1, 3900, fleet.clock.instant());
    Reservation reservation = fleet.selector.select(TestFleet.request("diary", hint));
    assertNotEquals(reservation.engine(), hinted);
    assertEquals(reservation.importFrom(), hinted);
  }

  public void noEngineExceedsTheBoundByMoreThanOneRequestOverTheMean() {
    TestFleet fleet = new TestFleet(8);
    int[] load = new int[8];
    for (int i = 0; i < 400; i++) {
      EngineId chosen = fleet.selector.select(TestFleet.request("chat" + i % 7)).engine();
      int index = Integer.parseInt(chosen.value().substring(1));
      load[index]++;
      double mean = (i + 1) / 8.0;
      assertTrue(load[index] <= Math.max(1.25 * mean, Math.floor(i / 8.0) + 1), "request " + i);
    }
  }

  public void ownDispatchesAfterAReportAddToIt() {
    TestFleet fleet = new TestFleet(2);
    fleet.report(TestFleet.engine(0), 5, 0);
    fleet.report(TestFleet.engine(1), 5, 0);
    fleet.clock.advance(Duration.ofSeconds(1));
    int[] load = new int[2];
    for (int i = 0; i < 20; i++) {
      load[
          Integer.parseInt(
              fleet.selector.select(TestFleet.request("same")).engine().value().substring(1))]++;
    }
    assertTrue(Math.abs(load[0] - load[1]) <= 8, load[0] + " and " + load[1]);
  }

  public void dispatchesBeforeAReportAreNotCountedTwice() {
    EngineLoadTracker tracker = new EngineLoadTracker();
    Instant start = Instant.parse("2026-01-01T00:00:00Z");
    tracker.add(start.toEpochMilli(), 50);
    tracker.add(start.plusSeconds(2).toEpochMilli(), 50);
    EngineLoad report = new EngineLoad(3, 120, 0, start.plusSeconds(1));
    assertEquals(tracker.estimate(report), new LoadEstimate(4, 170, false));
  }

  public void anExcludedEngineIsNotChosenAgain() {
    TestFleet fleet = new TestFleet(3);
    EngineId first = choose(fleet, TestFleet.request("chat"));
    assertNotEquals(choose(fleet, TestFleet.request("chat", null, first)), first);
  }

  public void anOpenCircuitIsSkippedAndProbedLater() {
    TestFleet fleet = new TestFleet(3);
    EngineId first = choose(fleet, TestFleet.request("chat"));
    for (int i = 0; i < 5; i++) {
      fleet.circuits.onFailure(first.value());
    }
    assertNotEquals(choose(fleet, TestFleet.request("chat")), first);
    fleet.clock.advance(Duration.ofSeconds(2));
    assertEquals(choose(fleet, TestFleet.request("chat")), first);
    assertNotEquals(choose(fleet, TestFleet.request("chat")), first);
  }

  public void aFlappingEngineIsSkippedUntilItIsStable() {
    TestFleet fleet = new TestFleet(4);
    EngineId first = choose(fleet, TestFleet.request("chat"));
    fleet.set(first, Liveness.DEAD, fleet.clock.instant());
    choose(fleet, TestFleet.request("chat"));
    fleet.set(first, Liveness.LIVE, fleet.clock.instant());
    assertNotEquals(choose(fleet, TestFleet.request("chat")), first);
    fleet.clock.advance(Duration.ofSeconds(60));
    assertEquals(choose(fleet, TestFleet.request("chat")), first);
  }

  public void withoutALiveEngineTheErrorHasOutcomeNotRun() {
    TestFleet fleet = new TestFleet(1);
    fleet.set(TestFleet.engine(0), Liveness.DEAD, fleet.clock.instant());
    ColtsfootvaleException error =
        expectThrows(
            ColtsfootvaleException.class, () -> fleet.selector.select(TestFleet.request("chat")));
    assertEquals(error.kind(), ErrorKind.NO_BACKEND);
    assertEquals(error.outcome(), Outcome.NOT_RUN);
  }

  public void withAllEnginesAtTheirLimitTheErrorHasARetryDelay() {
    TestFleet fleet = new TestFleet(2);
    fleet.report(TestFleet.engine(0), 600, 0);
    fleet.report(TestFleet.engine(1), 600, 0);
    ColtsfootvaleException error =
        expectThrows(
            ColtsfootvaleException.class, () -> fleet.selector.select(TestFleet.request("chat")));
    assertEquals(error.kind(), ErrorKind.OVERLOADED);
    assertFalse(error.retryAfter().isEmpty());
  }

  public void theReservationCarriesTheBoundUntilAnEngineIsExcluded() {
    TestFleet fleet = new TestFleet(4);
    for (int i = 0; i < 4; i++) {
      fleet.report(TestFleet.engine(i), 8, 0);
    }
    Reservation first = fleet.selector.select(TestFleet.request("chat"));
    assertEquals(first.outstandingRequestsMax(), 10);
    Reservation second = fleet.selector.select(TestFleet.request("chat", null, first.engine()));
    assertEquals(second.outstandingRequestsMax(), Integer.MAX_VALUE);
  }

  public void aShortRequestGoesToTheLeastLoadedEngineIfLoadsAreExact() {
    TestFleet fleet = new TestFleet(4);
    fleet.peers =
        engine -> {
          int requests = engine.equals(TestFleet.engine(0)) ? 6 : 8;
          return Optional.of(new DispatchCounts.Count(engine, requests, 0));
        };
    for (int chat = 0; chat < 50; chat++) {
      PlacementRequest tag =
          new PlacementRequest(
              TestFleet.ORGANISATION,
              TestFleet.MODEL,
              RequestClass.TAG,
              "tag" + chat,
              50,
              5,
              null,
              Set.of());
      assertEquals(choose(fleet, tag), TestFleet.engine(0));
    }
  }

  public void theCacheOfALeavingEngineIsImported() {
    TestFleet fleet = new TestFleet(4);
    EngineId leaving = TestFleet.engine(2);
    fleet.set(leaving, Liveness.LEAVING, fleet.clock.instant());
    CacheHint hint = new CacheHint(leaving, 1, 3900, fleet.clock.instant());
    Reservation reservation = fleet.selector.select(TestFleet.request("diary", hint));
    assertNotEquals(reservation.engine(), leaving);
    assertEquals(reservation.importFrom(), leaving);
  }

  public void nothingIsImportedFromADeadEngine() {
    TestFleet fleet = new TestFleet(4);
    EngineId dead = TestFleet.engine(2);
    fleet.set(dead, Liveness.DEAD, fleet.clock.instant());
    CacheHint hint = new CacheHint(dead, 1, 3900, fleet.clock.instant());
    Reservation reservation = fleet.selector.select(TestFleet.request("diary", hint));
    assertNull(reservation.importFrom());
    assertEquals(reservation.cachedTokensExpected(), 0);
  }
}
