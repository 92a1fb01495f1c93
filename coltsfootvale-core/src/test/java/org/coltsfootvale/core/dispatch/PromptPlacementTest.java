package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class PromptPlacementTest extends DispatcherFixture {

  @Test
  public void requestsThatShareAPartGoToTheReplicaThatHoldsIt() {
    addReplicas(6);
    String first = place(prompt("part", LONG));
    for (int i = 0; i < 20; i++) {
      assertEquals(place(prompt("part", LONG)), first);
    }
  }

  @Test
  public void aReplicaThatJoinsTakesNoPartThatAnotherHolds() {
    addReplicas(6);
    Map<String, String> homes = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      homes.put("part" + i, place(prompt("part" + i, LONG)));
    }
    for (int i = 6; i < 9; i++) {
      dispatcher.addReplica(replica(i));
    }
    homes.forEach((part, home) -> assertEquals(place(prompt(part, LONG)), home));
  }

  @Test
  public void routersThatSeeANewPartAtTheSameTimeAgree() {
    addReplicas(6);
    String here = place(prompt("part", LONG));
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    assertEquals(place(prompt("part", LONG)), here);
  }

  @Test
  public void whatAPeerHasPlacedDecidesLikeOwnPlacements() {
    addReplicas(6);
    String ranked = place(prompt("part", LONG));
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    String other = ranked.equals("r0") ? "r1" : "r0";
    locations.onPeerPlacement(
        new PromptCacheLocations.PartLocation(
            RendezvousHashing.hash("part"), ReplicaState.cacheHash(replica(other))));
    assertEquals(place(prompt("part", LONG)), other);
  }

  @Test
  public void aHotPartSpreadsBeforeItsReplicaHoldsTwiceTheMean() {
    addReplicas(6);
    Map<String, Integer> held = new HashMap<>();
    for (int i = 0; i < 24; i++) {
      held.merge(hold(prompt("hot", LONG)), 1, Integer::sum);
    }
    int most = held.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    double mean = 24 / 6.0;
    assertTrue(most <= 2 * mean + 3, "the busiest holds " + most + " at a mean of " + mean);
  }

  @Test
  public void aReplicaThatGetsAPartFetchesItFromOneThatHoldsIt() {
    addReplicas(2);
    Held first = new Held(prompt("part", LONG));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    Held second = new Held(prompt("part", LONG));
    dispatcher.submit(second);
    assertNotEquals(second.placed(), first.placed());
    assertEquals(second.cacheSource, Optional.of(first.placed().replica().address()));
  }

  @Test
  public void aShortPartIsReadAgainAndNotFetched() {
    addReplicas(2);
    Held first = new Held(prompt("part", SHORT));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    Held second = new Held(prompt("part", SHORT));
    dispatcher.submit(second);
    assertEquals(second.cacheSource, Optional.empty());
  }

  @Test
  public void aPartOfSomeHundredTokensIsFetchedWhereItIsKnown() {
    addReplicas(2);
    Held first = new Held(prompt("part", 700));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    Held second = new Held(prompt("part", 700));
    dispatcher.submit(second);
    assertEquals(second.cacheSource, Optional.of(first.placed().replica().address()));
  }

  @Test
  public void theBeginningOfANewPromptIsFetchedFromAReplicaThatHoldsIt() {
    addReplicas(6);
    Held known = new Held(chain("root", "one"));
    dispatcher.submit(known);
    for (int i = 0; i < 20; i++) {
      Held unknown = new Held(chain("root", "other" + i));
      dispatcher.submit(unknown);
      if (unknown.placed() != known.placed()) {
        assertTrue(unknown.cacheSource.isPresent(), "the root is held but not fetched");
        return;
      }
    }
    throw new AssertionError("all prompts went to one replica");
  }

  @Test
  public void aRestartedReplicaIsNotTakenToHoldWhatItHeldBefore() {
    addReplicas(3);
    String home = place(prompt("part", LONG));
    Replica before = state(home).replica();
    Held elsewhere = new Held(prompt("part", LONG));
    elsewhere.exclude(home);
    String copy = hold(elsewhere);
    dispatcher.removeReplica(before);
    dispatcher.addReplica(restarted(before));
    for (int i = 0; i < 3; i++) {
      assertEquals(place(prompt("part", LONG)), copy);
    }
  }

  @Test
  public void afterAStartALongPromptWaitsUntilItsHoldersAreKnown() {
    addReplicas(6);
    String home = place(prompt("part", LONG));
    String holder = home.equals("r0") ? "r1" : "r0";
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    locations.complete(false);
    Held waiting = new Held(prompt("part", LONG));
    dispatcher.submit(waiting);
    assertEquals(waiting.placements, 0);
    locations.onCacheListing(replica(holder), List.of("part"));
    locations.complete(true);
    dispatcher.placeWaiting();
    assertEquals(waiting.placed().replica().id(), holder);
  }

  @Test
  public void afterAStartAShortPromptIsPlacedAtOnce() {
    addReplicas(6);
    locations.complete(false);
    assertNotEquals(hold(prompt("part", SHORT)), "");
  }

  @Test
  public void aLongPromptIsPlacedRatherThanTurnedAwayWhenItsHoldersStayUnknown() {
    addReplicas(6);
    locations.complete(false);
    Held waiting = new Held(prompt("part", LONG));
    dispatcher.submit(waiting);
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(501));
    dispatcher.placeWaiting();
    assertEquals(waiting.placements, 1);
  }
}
