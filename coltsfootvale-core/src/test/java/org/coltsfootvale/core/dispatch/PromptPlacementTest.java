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
  public void requestsThatShareAPartArePlacedAtItsHolder() {
    addReplicas(6);
    String first = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    for (int i = 0; i < 20; i++) {
      assertEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), first);
    }
  }

  @Test
  public void partsStayAtTheirHoldersWhenReplicasJoin() {
    addReplicas(6);
    Map<String, String> homes = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      homes.put("part" + i, submitAndComplete(prompt("part" + i, LONG_PREFIX_TOKENS)));
    }
    for (int i = 6; i < 9; i++) {
      dispatcher.addReplica(replica(i));
    }
    homes.forEach(
        (part, home) -> assertEquals(submitAndComplete(prompt(part, LONG_PREFIX_TOKENS)), home));
  }

  @Test
  public void routersPlaceANewPartAtTheSameReplica() {
    addReplicas(6);
    String here = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    assertEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), here);
  }

  @Test
  public void placementsOfPeersCountLikeOwnPlacements() {
    addReplicas(6);
    String ranked = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    String other = ranked.equals("r0") ? "r1" : "r0";
    locations.onPeerPlacement(
        new PromptCacheLocations.PartLocation(
            RendezvousHashing.hash("part"), ReplicaState.cacheHash(replica(other))));
    assertEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), other);
  }

  @Test
  public void aHotPartSpreadsBeforeItsHolderExceedsTwiceTheMeanLoad() {
    addReplicas(6);
    Map<String, Integer> requestsByReplica = new HashMap<>();
    for (int i = 0; i < 24; i++) {
      requestsByReplica.merge(submit(prompt("hot", LONG_PREFIX_TOKENS)), 1, Integer::sum);
    }
    int most = requestsByReplica.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    double mean = 24 / 6.0;
    assertTrue(most <= 2 * mean + 3, "highest load " + most + " at a mean load of " + mean);
  }

  @Test
  public void aPartIsFetchedFromAReplicaThatHoldsIt() {
    addReplicas(2);
    TestRequest first = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    TestRequest second = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    dispatcher.submit(second);
    assertNotEquals(second.placed(), first.placed());
    assertEquals(second.cacheSource, Optional.of(first.placed().replica().address()));
  }

  @Test
  public void aShortPartIsPrefilledAgainAndNotFetched() {
    addReplicas(2);
    TestRequest first = new TestRequest(prompt("part", SHORT_PREFIX_TOKENS));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    TestRequest second = new TestRequest(prompt("part", SHORT_PREFIX_TOKENS));
    dispatcher.submit(second);
    assertEquals(second.cacheSource, Optional.empty());
  }

  @Test
  public void aPartAboveTheFetchMinimumIsFetched() {
    addReplicas(2);
    TestRequest first = new TestRequest(prompt("part", 700));
    dispatcher.submit(first);
    dispatcher.removeReplica(first.placed().replica());
    TestRequest second = new TestRequest(prompt("part", 700));
    dispatcher.submit(second);
    assertEquals(second.cacheSource, Optional.of(first.placed().replica().address()));
  }

  @Test
  public void thePrefixOfANewPromptIsFetchedFromAReplicaThatHoldsIt() {
    addReplicas(6);
    TestRequest known = new TestRequest(promptWithRoot("root", "one"));
    dispatcher.submit(known);
    for (int i = 0; i < 20; i++) {
      TestRequest unknown = new TestRequest(promptWithRoot("root", "other" + i));
      dispatcher.submit(unknown);
      if (unknown.placed() != known.placed()) {
        assertTrue(unknown.cacheSource.isPresent(), "the root part is cached but was not fetched");
        return;
      }
    }
    throw new AssertionError("all prompts were placed at one replica");
  }

  @Test
  public void aRestartedReplicaCountsAsHavingAnEmptyCache() {
    addReplicas(3);
    String home = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    Replica before = state(home).replica();
    TestRequest excludingHome = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    excludingHome.exclude(home);
    String copy = submit(excludingHome);
    dispatcher.removeReplica(before);
    dispatcher.addReplica(restarted(before));
    for (int i = 0; i < 3; i++) {
      assertEquals(submitAndComplete(prompt("part", LONG_PREFIX_TOKENS)), copy);
    }
  }

  @Test
  public void afterAStartALongPromptWaitsForCacheDiscovery() {
    addReplicas(6);
    String home = submitAndComplete(prompt("part", LONG_PREFIX_TOKENS));
    String holder = home.equals("r0") ? "r1" : "r0";
    locations = locations();
    dispatcher = create();
    addReplicas(6);
    locations.complete(false);
    TestRequest waiting = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    dispatcher.submit(waiting);
    assertEquals(waiting.placements, 0);
    locations.onCacheListing(replica(holder), List.of("part"));
    locations.complete(true);
    dispatcher.placeWaiting();
    assertEquals(waiting.placed().replica().id(), holder);
  }

  @Test
  public void afterAStartAShortPromptIsPlacedWithoutWaiting() {
    addReplicas(6);
    locations.complete(false);
    assertNotEquals(submit(prompt("part", SHORT_PREFIX_TOKENS)), "");
  }

  @Test
  public void aLongPromptIsPlacedAfterItsWaitingTimeWithoutCacheDiscovery() {
    addReplicas(6);
    locations.complete(false);
    TestRequest waiting = new TestRequest(prompt("part", LONG_PREFIX_TOKENS));
    dispatcher.submit(waiting);
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(501));
    dispatcher.placeWaiting();
    assertEquals(waiting.placements, 1);
  }
}
