package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.replica.Replica;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class CacheCensusTest {

  private static final List<String> ROUTERS = List.of("a", "b", "c");
  private static final List<String> NONE = List.of();

  private AtomicLong now = new AtomicLong();
  private PromptCacheLocations locations = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    locations = create();
  }

  @Test
  public void afterALossOfAllRoutersEachReplicaIsAskedAtOnceByOneOfThem() {
    List<Replica> asked = new ArrayList<>();
    for (String router : ROUTERS) {
      asked.addAll(
          new CacheDiscovery(false, locations, now::get)
              .replicasToQuery(router, ROUTERS, NONE, engines()));
    }
    assertEquals(asked.size(), engines().size());
    assertTrue(asked.containsAll(engines()));
  }

  @Test
  public void theFirstRouterThatStartsAsksForThoseThatAreStillStarting() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    List<Replica> own = census.replicasToQuery("a", ROUTERS, NONE, engines());
    own.forEach(engine -> census.onQueryEnded());
    assertFalse(census.finished());
    pass(130);
    List<Replica> rest = census.replicasToQuery("a", ROUTERS, NONE, engines());
    assertEquals(own.size() + rest.size(), engines().size());
    rest.forEach(engine -> census.onQueryEnded());
    census.replicasToQuery("a", ROUTERS, NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void routersThatAreHeardShareTheReplicasOfThoseThatAreNot() {
    List<Replica> asked = new ArrayList<>();
    for (String router : List.of("a", "b")) {
      CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
      asked.addAll(census.replicasToQuery(router, ROUTERS, NONE, engines()));
      pass(130);
      String other = router.equals("a") ? "b" : "a";
      asked.addAll(census.replicasToQuery(router, ROUTERS, List.of(other), engines()));
    }
    assertTrue(asked.containsAll(engines()));
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRouterThatHeardOfSomeCachesOnlyIsNotYetReady() {
    locations.onPeerPlacement(cacheOf(engines().get(0)));
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    census.replicasToQuery("z", ROUTERS, NONE, engines());
    assertFalse(census.finished());
  }

  @Test
  public void noReplicaIsAskedOnceOtherRoutersHaveToldOfAllCaches() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    engines().forEach(engine -> locations.onPeerPlacement(cacheOf(engine)));
    assertEquals(census.replicasToQuery("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void noReplicaIsAskedAtTheFirstStart() {
    CacheDiscovery census = new CacheDiscovery(true, locations, now::get);
    assertEquals(census.replicasToQuery("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void callersAreKeptAwayUntilTheAnswersAreIn() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    List<Replica> due = census.replicasToQuery("a", List.of("a"), NONE, engines());
    assertEquals(due.size(), engines().size());
    census.replicasToQuery("a", List.of("a"), NONE, engines());
    assertFalse(census.finished());
    due.forEach(engine -> census.onQueryEnded());
    census.replicasToQuery("a", List.of("a"), NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void callersAreNotKeptAwayForLongWhenNothingAnswers() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    census.replicasToQuery("a", ROUTERS, NONE, engines());
    assertFalse(census.finished());
    pass(1_000);
    census.replicasToQuery("a", ROUTERS, NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void replicasThatJoinLaterAreNotAsked() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    census.replicasToQuery("a", ROUTERS, NONE, List.of());
    assertTrue(census.finished());
    assertEquals(census.replicasToQuery("a", List.of("a"), NONE, engines()), List.of());
  }

  @Test
  public void relaysLeaveReplicasToTheRelaysThatTheyHearHoweverLongThatTakes() {
    List<Replica> asked = new ArrayList<>();
    for (String router : ROUTERS) {
      List<String> others = ROUTERS.stream().filter(other -> !other.equals(router)).toList();
      CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
      asked.addAll(census.replicasToQueryAtRelay(router, others, NONE, engines()));
      pass(400);
      asked.addAll(census.replicasToQueryAtRelay(router, others, others, engines()));
    }
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRelayThatHearsNoOtherOneAsksAllReplicas() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    List<Replica> asked =
        new ArrayList<>(census.replicasToQueryAtRelay("a", ROUTERS, NONE, engines()));
    pass(400);
    asked.addAll(census.replicasToQueryAtRelay("a", ROUTERS, NONE, engines()));
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRouterThatLeavesTheAskingToRelaysIsReadyOnceTheyHaveToldOfAllCaches() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    census.awaitPeers(engines());
    assertFalse(census.finished());
    engines().forEach(engine -> locations.onPeerPlacement(cacheOf(engine)));
    census.awaitPeers(engines());
    assertTrue(census.finished());
  }

  @Test
  public void aRouterThatLeavesTheAskingToRelaysDoesNotWaitForLong() {
    CacheDiscovery census = new CacheDiscovery(false, locations, now::get);
    census.awaitPeers(engines());
    pass(1_000);
    census.awaitPeers(engines());
    assertTrue(census.finished());
  }

  private void pass(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private static PromptCacheLocations.PartLocation cacheOf(Replica engine) {
    return new PromptCacheLocations.PartLocation(1, ReplicaState.cacheHash(engine));
  }

  private PromptCacheLocations create() {
    return new PromptCacheLocations(Duration.ofSeconds(60), () -> now.get());
  }

  private static List<Replica> engines() {
    List<Replica> engines = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      engines.add(new Replica("e" + i, 1, "s", new HostPort("10.0.0.1", 80 + i), "dc", 64, false));
    }
    return engines;
  }
}
