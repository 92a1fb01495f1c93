package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The load pattern of a service whose replicas turn requests away and ask for time. */
@Test(singleThreaded = true)
public class PausedReplicaTest extends DispatcherFixture {

  @Test
  public void aReplicaThatAsksForAPauseGetsNothingUntilItsEnd() {
    addReplicas(2);
    pause("r0", 2_000);
    for (int i = 0; i < 8; i++) {
      assertEquals(place(plain(1, 1_000)), "r1");
      assertEquals(place(prompt("part" + i, LONG)), "r1");
    }
    pass(2_001);
    assertTrue(placements(8).contains("r0"));
  }

  @Test
  public void aShorterPauseDoesNotShortenALongerOne() {
    addReplicas(2);
    pause("r0", 2_000);
    pause("r0", 100);
    pass(1_900);
    assertEquals(place(plain(1, 1_000)), "r1");
  }

  @Test
  public void aPauseIsBounded() {
    addReplicas(2);
    Duration granted = dispatcher.pause(state("r0"), Duration.ofDays(1));
    assertEquals(granted, Duration.ofMinutes(5));
  }

  @Test
  public void noPauseIsNoPause() {
    addReplicas(1);
    pause("r0", 0);
    assertEquals(place(plain(1, 1_000)), "r0");
  }

  @Test
  public void aRequestIsRefusedAtOnceIfAllReplicasWantMoreTimeThanItMayWait() {
    addReplicas(2);
    pause("r0", 3_000);
    pause("r1", 2_000);
    Held work = new Held(plain(1, 1_000));
    dispatcher.submit(work);
    Refusal refusal = work.refusal.orElseThrow();
    assertEquals(refusal.reason(), Refusal.Reason.REPLICAS_PAUSED);
    assertTrue(refusal.retryAfter().toMillis() >= 2_000, refusal.toString());
    assertTrue(refusal.retryAfter().toMillis() < 3_000, refusal.toString());
  }

  @Test
  public void aRequestWaitsForAPauseThatEndsInTime() {
    addReplicas(1);
    pause("r0", 300);
    Held work = new Held(plain(1, 1_000));
    dispatcher.submit(work);
    assertEquals(dispatcher.waiting(), 1);
    pass(301);
    dispatcher.placeWaiting();
    assertEquals(work.placed().replica().id(), "r0");
  }

  @Test
  public void waitingRequestsAreRefusedOnceAllReplicasWantMoreTimeThanTheyHave() {
    addReplicas(1);
    List<Held> running = fill();
    Held work = new Held(plain(1, 1_000));
    dispatcher.submit(work);
    pause("r0", 5_000);
    dispatcher.release(running.get(0).placed());
    assertEquals(work.refusal.orElseThrow().reason(), Refusal.Reason.REPLICAS_PAUSED);
  }

  @Test
  public void aReplicaIsNotFloodedAtTheEndOfItsPause() {
    addReplicas(1);
    pause("r0", 200);
    List<Held> waiting = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Held work = new Held(plain(1, 1_000));
      dispatcher.submit(work);
      waiting.add(work);
    }
    pass(201);
    dispatcher.placeWaiting();
    assertEquals(waiting.stream().filter(work -> work.replica != null).count(), 2);
    state("r0").health().onSuccess();
    dispatcher.release(state("r0"));
    assertEquals(waiting.stream().filter(work -> work.replica != null).count(), 8);
  }

  @Test
  public void aReplicaThatHasAskedAnotherRouterForAPauseIsTakenOnlyWithoutAnAlternative() {
    addReplicas(2);
    dispatcher.onPeerPause(state("r0").nameHash(), Duration.ofSeconds(2));
    for (int i = 0; i < 4; i++) {
      assertEquals(place(plain(1, 1_000)), "r1");
      assertEquals(place(prompt("part" + i, LONG)), "r1");
    }
    dispatcher.removeReplica(replica(1));
    assertEquals(place(plain(1, 1_000)), "r0");
  }

  @Test
  public void theWordOfAPauseThatComesBackOverOtherRoutersDoesNotProlongIt() {
    addReplicas(1);
    long name = state("r0").nameHash();
    dispatcher.onPeerPause(name, Duration.ofMillis(1_000));
    for (int i = 0; i < 10; i++) {
      pass(100);
      Duration left = dispatcher.pauses().getOrDefault(name, Duration.ZERO);
      dispatcher.onPeerPause(name, left.plusMillis(30));
    }
    assertEquals(dispatcher.pauses().size(), 0);
  }

  @Test
  public void aRestartOfTheReplicaEndsItsPause() {
    addReplicas(1);
    pause("r0", 60_000);
    dispatcher.removeReplica(replica(0));
    dispatcher.addReplica(restarted(replica(0)));
    assertEquals(place(plain(1, 1_000)), "r0");
  }

  private List<String> placements(int count) {
    List<String> placed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      placed.add(hold(plain(1, 1_000)));
    }
    return placed;
  }

  private void pause(String id, long millis) {
    dispatcher.pause(state(id), Duration.ofMillis(millis));
  }

  private void pass(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
