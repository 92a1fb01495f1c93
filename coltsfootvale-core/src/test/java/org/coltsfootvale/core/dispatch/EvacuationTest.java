package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.replica.Replica;
import org.testng.annotations.Test;

/** A service with replicas in several data centres, some of which are evacuated. */
@Test(singleThreaded = true)
public class EvacuationTest extends DispatcherFixture {

  @Test
  public void replicasInAnEvacuatedDataCentreGetNoRequests() {
    addReplicasInNorthAndSouth();
    dispatcher.setEvacuated(Set.of("north"));
    for (int i = 0; i < 16; i++) {
      assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r1");
      assertEquals(submitAndComplete(prompt("part" + i, LONG_PREFIX_TOKENS)), "r1");
    }
  }

  @Test
  public void aPromptLeavesTheReplicaThatHasItCached() {
    addReplicasInNorthAndSouth();
    String holder = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    Replica held = state(holder).replica();
    dispatcher.setEvacuated(Set.of(held.dataCentre()));
    TestRequest request = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    assertFalse(submit(request).equals(holder));
    // Fetching cached prompt parts is no request.
    assertEquals(request.cacheSource.orElseThrow(), held.address());
  }

  @Test
  public void aReplicaAddedDuringTheEvacuationGetsNoRequests() {
    dispatcher.setEvacuated(Set.of("north"));
    addReplicasInNorthAndSouth();
    dispatcher.removeReplica(inDataCentre(0, "north"));
    dispatcher.addReplica(restarted(inDataCentre(0, "north")));
    for (int i = 0; i < 8; i++) {
      assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r1");
    }
  }

  @Test
  public void aReplicaWhoseEntryNamesAnotherDataCentreFollowsIt() {
    addReplicasInNorthAndSouth();
    dispatcher.setEvacuated(Set.of("north"));
    dispatcher.addReplica(inDataCentre(1, "north"));
    assertTrue(state("r1").evacuated());
    dispatcher.addReplica(inDataCentre(1, "south"));
    assertFalse(state("r1").evacuated());
  }

  @Test
  public void replicasGetRequestsAgainAfterTheWithdrawal() {
    addReplicasInNorthAndSouth();
    dispatcher.setEvacuated(Set.of("north", "south"));
    dispatcher.setEvacuated(Set.of("south"));
    assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r0");
  }

  @Test
  public void requestsAreRefusedAtOnceIfAllReplicasAreEvacuated() {
    addReplicasInNorthAndSouth();
    dispatcher.setEvacuated(Set.of("north", "south"));
    for (Spec spec : List.of(withoutPrompt(1, 1_000), prompt("part", LONG_PREFIX_TOKENS))) {
      TestRequest request = new TestRequest(spec);
      dispatcher.submit(request);
      assertEvacuated(request);
    }
    assertEquals(dispatcher.waiting(), 0);
  }

  @Test
  public void queuedRequestsAreRefusedAtOnceWhenTheLastDataCentreIsEvacuated() {
    addReplicasInNorthAndSouth();
    fillBoth();
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    dispatcher.setEvacuated(Set.of("north"));
    assertEquals(dispatcher.waiting(), 1);
    dispatcher.setEvacuated(Set.of("north", "south"));
    assertEvacuated(request);
    assertEquals(dispatcher.waiting(), 0);
  }

  @Test
  public void queuedRequestsAreNotPlacedAtAnEvacuatedReplicaThatHasRoomAgain() {
    addReplicasInNorthAndSouth();
    List<TestRequest> running = fillBoth();
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    dispatcher.setEvacuated(Set.of("north"));
    releaseAllAt("r0", running);
    assertEquals(request.placements, 0);
    releaseAllAt("r1", running);
    assertEquals(request.placed().replica().id(), "r1");
  }

  @Test
  public void aPauseOfTheRemainingReplicasIsNotHiddenByEvacuatedOnes() {
    addReplicasInNorthAndSouth();
    dispatcher.setEvacuated(Set.of("north"));
    dispatcher.pause(state("r1"), Duration.ofMillis(2_000));
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    assertEquals(request.refusal.orElseThrow().reason(), Refusal.Reason.REPLICAS_PAUSED);
  }

  private void assertEvacuated(TestRequest request) {
    Refusal refusal = request.refusal.orElseThrow();
    assertEquals(refusal.reason(), Refusal.Reason.EVACUATED);
    assertEquals(request.placements, 0);
    assertTrue(refusal.retryAfter().toMillis() > 0, refusal.toString());
    assertTrue(refusal.retryAfter().toSeconds() < 30, refusal.toString());
  }

  /** Fills both replicas, each of which takes two requests for a slot. */
  private List<TestRequest> fillBoth() {
    List<TestRequest> placed = fillReplicas();
    placed.addAll(fillReplicas());
    return placed;
  }

  private void releaseAllAt(String id, List<TestRequest> running) {
    for (TestRequest request : new ArrayList<>(running)) {
      if (request.placed().replica().id().equals(id)) {
        dispatcher.release(request.placed());
      }
    }
  }

  private void addReplicasInNorthAndSouth() {
    dispatcher.addReplica(inDataCentre(0, "north"));
    dispatcher.addReplica(inDataCentre(1, "south"));
  }

  private static Replica inDataCentre(int index, String dataCentre) {
    return new Replica(
        "r" + index,
        1,
        "service",
        new HostPort("10.0.0." + (index + 1), 80),
        dataCentre,
        SLOTS,
        false);
  }
}
