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
  public void countsOfPeersFollowTheirLatestNewsAndLapse() {
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
  public void aReplicaThatIsSilentWithWorkGetsNoMore() {
    addReplicas(2);
    String silent = hold(prompt("part", LONG));
    now.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertNotEquals(place(prompt("part", LONG)), silent);
  }

  @Test
  public void failingReplicasAreStillUsedWhenAllFail() {
    addReplicas(2);
    for (ReplicaState state : dispatcher.replicas()) {
      for (int i = 0; i < 10; i++) {
        state.health().onFailure();
      }
    }
    assertNotEquals(place(prompt("part", LONG)), "");
  }

  @Test
  public void aFailingReplicaIsTriedAgainAfterAWhile() {
    addReplicas(2);
    String first = place(prompt("part", LONG));
    ReplicaState state = state(first);
    for (int i = 0; i < 10; i++) {
      state.health().onFailure();
    }
    assertNotEquals(place(prompt("part", LONG)), first);
    now.addAndGet(TimeUnit.SECONDS.toNanos(6));
    assertTrue(state.health().failureRate() < DispatchOptions.defaults().failureRateMax());
  }

  @Test
  public void plainRequestsSpreadOverTheReplicas() {
    addReplicas(3);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      used.add(hold(plain(1, 1_000)));
    }
    assertEquals(used.size(), 3);
  }

  @Test
  public void waitingRequestsArePlacedInOrderOfUrgency() {
    addReplicas(1);
    List<Held> placed = fill();
    List<String> order = new ArrayList<>();
    Held late = new Held(plain(5, 1_000), () -> order.add("late"));
    Held urgent = new Held(plain(0, 1_000), () -> order.add("urgent"));
    dispatcher.submit(late);
    dispatcher.submit(urgent);
    assertEquals(dispatcher.waiting(), 2);
    placed.forEach(held -> dispatcher.release(held.placed()));
    assertEquals(order, List.of("urgent", "late"));
  }

  @Test
  public void aRequestThatWaitsInVainIsTurnedAwayWithATimeToComeBack() {
    addReplicas(1);
    fill();
    Held waiting = new Held(plain(1, 200));
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
  public void thePlacementTellsTheMeanLoadOfAllReplicasSuspendedOnesIncluded() {
    addReplicas(2);
    hold(plain(1, 1_000));
    hold(plain(1, 1_000));
    dispatcher.replicas().get(0).health().onConnectionFailure();
    Held third = new Held(plain(1, 1_000));
    dispatcher.submit(third);
    assertEquals(third.placement().meanLoad(), 1.0);
    assertEquals(third.placement().candidates(), 1);
  }

  @Test
  public void aRequestThatHasTriedAllReplicasIsTurnedAwayAtOnce() {
    addReplicas(2);
    Held tried = new Held(plain(1, 1_000));
    tried.exclude("r0");
    tried.exclude("r1");
    dispatcher.submit(tried);
    assertEquals(tried.refusal.orElseThrow().reason(), Refusal.Reason.REJECTED);
  }

  @Test
  public void aRequestThatIsWithdrawnIsNeitherPlacedNorTurnedAway() {
    addReplicas(1);
    List<Held> placed = fill();
    Held waiting = new Held(plain(1, 1_000));
    dispatcher.submit(waiting);
    dispatcher.cancel(waiting);
    placed.forEach(held -> dispatcher.release(held.placed()));
    now.addAndGet(TimeUnit.SECONDS.toNanos(3));
    dispatcher.placeWaiting();
    assertEquals(waiting.placements, 0);
    assertEquals(waiting.refusal, Optional.empty());
  }
}
