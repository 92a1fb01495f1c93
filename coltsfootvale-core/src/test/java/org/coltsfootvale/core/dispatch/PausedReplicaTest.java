package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A service whose replicas reject requests and request pauses. */
@Test(singleThreaded = true)
public class PausedReplicaTest extends DispatcherFixture {

  @Test
  public void aPausedReplicaGetsNoRequestsUntilThePauseEnds() {
    addReplicas(2);
    pause("r0", 2_000);
    for (int i = 0; i < 8; i++) {
      assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r1");
      assertEquals(submitAndComplete(prompt("part" + i, LONG_PREFIX_TOKENS)), "r1");
    }
    advance(2_001);
    assertTrue(placements(8).contains("r0"));
  }

  @Test
  public void aShorterPauseDoesNotShortenALongerOne() {
    addReplicas(2);
    pause("r0", 2_000);
    pause("r0", 100);
    advance(1_900);
    assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r1");
  }

  @Test
  public void aPauseIsBounded() {
    addReplicas(2);
    Duration granted = dispatcher.pause(state("r0"), Duration.ofDays(1));
    assertEquals(granted, Duration.ofMinutes(5));
  }

  @Test
  public void aPauseOfZeroHasNoEffect() {
    addReplicas(1);
    pause("r0", 0);
    assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r0");
  }

  @Test
  public void aRequestIsRefusedAtOnceIfAllPausesExceedItsWaitingTime() {
    addReplicas(2);
    pause("r0", 3_000);
    pause("r1", 2_000);
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    Refusal refusal = request.refusal.orElseThrow();
    assertEquals(refusal.reason(), Refusal.Reason.REPLICAS_PAUSED);
    assertTrue(refusal.retryAfter().toMillis() >= 2_000, refusal.toString());
    assertTrue(refusal.retryAfter().toMillis() < 3_000, refusal.toString());
  }

  @Test
  public void aRequestWaitsForAPauseThatEndsInTime() {
    addReplicas(1);
    pause("r0", 300);
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    assertEquals(dispatcher.waiting(), 1);
    advance(301);
    dispatcher.placeWaiting();
    assertEquals(request.placed().replica().id(), "r0");
  }

  @Test
  public void queuedRequestsAreRefusedOnceAllPausesExceedTheirWaitingTime() {
    addReplicas(1);
    List<TestRequest> running = fillReplicas();
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    pause("r0", 5_000);
    dispatcher.release(running.get(0).placed());
    assertEquals(request.refusal.orElseThrow().reason(), Refusal.Reason.REPLICAS_PAUSED);
  }

  @Test
  public void aReplicaIsOnProbationAfterItsPause() {
    addReplicas(1);
    pause("r0", 200);
    List<TestRequest> waiting = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
      dispatcher.submit(request);
      waiting.add(request);
    }
    advance(201);
    dispatcher.placeWaiting();
    assertEquals(waiting.stream().filter(request -> request.replica != null).count(), 2);
    state("r0").health().onSuccess();
    dispatcher.release(state("r0"));
    assertEquals(waiting.stream().filter(request -> request.replica != null).count(), 8);
  }

  @Test
  public void aReplicaPausedAtAPeerIsUsedOnlyWithoutAnAlternative() {
    addReplicas(2);
    dispatcher.onPeerPause(state("r0").nameHash(), Duration.ofSeconds(2));
    for (int i = 0; i < 4; i++) {
      assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r1");
      assertEquals(submitAndComplete(prompt("part" + i, LONG_PREFIX_TOKENS)), "r1");
    }
    dispatcher.removeReplica(replica(1));
    assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r0");
  }

  @Test
  public void aPauseRelayedBackByPeersIsNotProlonged() {
    addReplicas(1);
    long name = state("r0").nameHash();
    dispatcher.onPeerPause(name, Duration.ofMillis(1_000));
    for (int i = 0; i < 10; i++) {
      advance(100);
      Duration remaining = dispatcher.pauses().getOrDefault(name, Duration.ZERO);
      dispatcher.onPeerPause(name, remaining.plusMillis(30));
    }
    assertEquals(dispatcher.pauses().size(), 0);
  }

  @Test
  public void aRestartOfTheReplicaEndsItsPause() {
    addReplicas(1);
    pause("r0", 60_000);
    dispatcher.removeReplica(replica(0));
    dispatcher.addReplica(restarted(replica(0)));
    assertEquals(submitAndComplete(withoutPrompt(1, 1_000)), "r0");
  }

  private List<String> placements(int count) {
    List<String> placed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      placed.add(submit(withoutPrompt(1, 1_000)));
    }
    return placed;
  }

  private void pause(String id, long millis) {
    dispatcher.pause(state(id), Duration.ofMillis(millis));
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
