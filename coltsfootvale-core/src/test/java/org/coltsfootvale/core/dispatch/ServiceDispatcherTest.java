package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class ServiceDispatcherTest extends DispatcherFixture {

  @Test
  public void requestCountsOfPeersFollowTheirLatestUpdateAndExpire() {
    peers.onUpdate("a", Map.of(1L, 3, 2L, 1));
    peers.onUpdate("b", Map.of(1L, 2));
    assertEquals(peers.inFlightAt(1), 5);
    peers.onUpdate("a", Map.of(2L, 4));
    assertEquals(peers.inFlightAt(1), 2);
    assertEquals(peers.inFlightAt(2), 4);
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    peers.onUpdate("b", Map.of(1L, 1));
    peers.expire();
    assertEquals(peers.inFlightAt(1), 1);
    assertEquals(peers.inFlightAt(2), 0);
  }

  @Test
  public void aReplicaThatSendsNoDataGetsNoFurtherRequests() {
    addReplicas(2);
    String unresponsive = submit(prompt("part", LONG_PREFIX_TOKENS));
    now.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertNotEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), unresponsive);
  }

  @Test
  public void failingReplicasAreStillUsedWhenAllFail() {
    addReplicas(2);
    for (ReplicaState state : dispatcher.replicas()) {
      for (int i = 0; i < 10; i++) {
        state.health().onFailure();
      }
    }
    assertNotEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), "");
  }

  @Test
  public void theFailureRateOfAReplicaDecaysOverTime() {
    addReplicas(2);
    String first = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    ReplicaState state = state(first);
    for (int i = 0; i < 10; i++) {
      state.health().onFailure();
    }
    assertNotEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), first);
    now.addAndGet(TimeUnit.SECONDS.toNanos(6));
    assertTrue(state.health().failureRate() < DispatchOptions.defaults().failureRateMax());
  }

  @Test
  public void requestsWithoutAPromptSpreadOverTheReplicas() {
    addReplicas(3);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      used.add(submit(withoutPrompt(1, 1_000)));
    }
    assertEquals(used.size(), 3);
  }

  @Test
  public void waitingRequestsArePlacedInOrderOfUrgency() {
    addReplicas(1);
    List<TestRequest> placed = fillReplicas();
    List<String> order = new ArrayList<>();
    TestRequest lessUrgent =
        new TestRequest(withoutPrompt(5, 1_000), () -> order.add("less urgent"));
    TestRequest urgent = new TestRequest(withoutPrompt(0, 1_000), () -> order.add("urgent"));
    dispatcher.submit(lessUrgent);
    dispatcher.submit(urgent);
    assertEquals(dispatcher.waiting(), 2);
    placed.forEach(request -> dispatcher.release(request.placed()));
    assertEquals(order, List.of("urgent", "less urgent"));
  }

  @Test
  public void aRequestThatCannotBePlacedInTimeIsRefusedWithARetryDelay() {
    addReplicas(1);
    fillReplicas();
    TestRequest waiting = new TestRequest(withoutPrompt(1, 200));
    dispatcher.submit(waiting);
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(99));
    dispatcher.placeWaiting();
    assertEquals(waiting.refusal, Optional.empty());
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(2));
    dispatcher.placeWaiting();
    Refusal refusal = waiting.refusal.orElseThrow();
    assertEquals(refusal.reason(), Refusal.Reason.NO_CAPACITY);
    assertTrue(refusal.retryAfter().compareTo(Duration.ZERO) > 0);
  }

  @Test
  public void theMeanLoadOfAPlacementIncludesSuspendedReplicas() {
    addReplicas(2);
    submit(withoutPrompt(1, 1_000));
    submit(withoutPrompt(1, 1_000));
    dispatcher.replicas().get(0).health().onConnectionFailure();
    TestRequest third = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(third);
    assertEquals(third.placement().meanLoad(), 1.0);
    assertEquals(third.placement().candidates(), 1);
  }

  @Test
  public void aRequestThatExcludesAllReplicasIsRefusedAtOnce() {
    addReplicas(2);
    TestRequest tried = new TestRequest(withoutPrompt(1, 1_000));
    tried.exclude("r0");
    tried.exclude("r1");
    dispatcher.submit(tried);
    assertEquals(tried.refusal.orElseThrow().reason(), Refusal.Reason.REJECTED);
  }

  @Test
  public void aCancelledRequestIsNeitherPlacedNorRefused() {
    addReplicas(1);
    List<TestRequest> placed = fillReplicas();
    TestRequest waiting = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(waiting);
    dispatcher.cancel(waiting);
    placed.forEach(request -> dispatcher.release(request.placed()));
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    dispatcher.placeWaiting();
    assertEquals(waiting.placements, 0);
    assertEquals(waiting.refusal, Optional.empty());
  }
}
