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
public class CacheDiscoveryTest {

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
  public void afterALossOfAllRoutersEachReplicaIsQueriedByExactlyOne() {
    List<Replica> queried = new ArrayList<>();
    for (String router : ROUTERS) {
      queried.addAll(
          new CacheDiscovery(false, locations, now::get)
              .replicasToQuery(router, ROUTERS, NONE, engines()));
    }
    assertEquals(queried.size(), engines().size());
    assertTrue(queried.containsAll(engines()));
  }

  @Test
  public void theFirstStartedRouterQueriesForRoutersStillStarting() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    List<Replica> own = discovery.replicasToQuery("a", ROUTERS, NONE, engines());
    own.forEach(engine -> discovery.onQueryEnded());
    assertFalse(discovery.finished());
    advance(130);
    List<Replica> rest = discovery.replicasToQuery("a", ROUTERS, NONE, engines());
    assertEquals(own.size() + rest.size(), engines().size());
    rest.forEach(engine -> discovery.onQueryEnded());
    discovery.replicasToQuery("a", ROUTERS, NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void activeRoutersDivideTheReplicasOfInactiveOnes() {
    List<Replica> queried = new ArrayList<>();
    for (String router : List.of("a", "b")) {
      CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
      queried.addAll(discovery.replicasToQuery(router, ROUTERS, NONE, engines()));
      advance(130);
      String other = router.equals("a") ? "b" : "a";
      queried.addAll(discovery.replicasToQuery(router, ROUTERS, List.of(other), engines()));
    }
    assertTrue(queried.containsAll(engines()));
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRouterWithOnlySomeCachesDiscoveredIsNotReady() {
    locations.onPeerPlacement(cacheOf(engines().get(0)));
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    discovery.replicasToQuery("z", ROUTERS, NONE, engines());
    assertFalse(discovery.finished());
  }

  @Test
  public void noReplicaIsQueriedOncePeersHavePublishedAllCaches() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    engines().forEach(engine -> locations.onPeerPlacement(cacheOf(engine)));
    assertEquals(discovery.replicasToQuery("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(discovery.finished());
  }

  @Test
  public void noReplicaIsQueriedAtTheFirstStart() {
    CacheDiscovery discovery = new CacheDiscovery(true, locations, now::get);
    assertEquals(discovery.replicasToQuery("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(discovery.finished());
  }

  @Test
  public void theRouterIsNotReadyUntilAllQueriesHaveEnded() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    List<Replica> due = discovery.replicasToQuery("a", List.of("a"), NONE, engines());
    assertEquals(due.size(), engines().size());
    discovery.replicasToQuery("a", List.of("a"), NONE, engines());
    assertFalse(discovery.finished());
    due.forEach(engine -> discovery.onQueryEnded());
    discovery.replicasToQuery("a", List.of("a"), NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void theRouterBecomesReadyAfterTheTimeLimitWithoutAnswers() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    discovery.replicasToQuery("a", ROUTERS, NONE, engines());
    assertFalse(discovery.finished());
    advance(1_000);
    discovery.replicasToQuery("a", ROUTERS, NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void replicasThatJoinLaterAreNotQueried() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    discovery.replicasToQuery("a", ROUTERS, NONE, List.of());
    assertTrue(discovery.finished());
    assertEquals(discovery.replicasToQuery("a", List.of("a"), NONE, engines()), List.of());
  }

  @Test
  public void relaysLeaveReplicasToActiveRelaysWithoutATimeLimit() {
    List<Replica> queried = new ArrayList<>();
    for (String router : ROUTERS) {
      List<String> others = ROUTERS.stream().filter(other -> !other.equals(router)).toList();
      CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
      queried.addAll(discovery.replicasToQueryAtRelay(router, others, NONE, engines()));
      advance(400);
      queried.addAll(discovery.replicasToQueryAtRelay(router, others, others, engines()));
    }
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRelayWithoutActiveRelaysQueriesAllReplicas() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    List<Replica> queried =
        new ArrayList<>(discovery.replicasToQueryAtRelay("a", ROUTERS, NONE, engines()));
    advance(400);
    queried.addAll(discovery.replicasToQueryAtRelay("a", ROUTERS, NONE, engines()));
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRouterAwaitingPeersIsReadyOncePeersHavePublishedAllCaches() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    discovery.awaitPeers(engines());
    assertFalse(discovery.finished());
    engines().forEach(engine -> locations.onPeerPlacement(cacheOf(engine)));
    discovery.awaitPeers(engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void aRouterAwaitingPeersBecomesReadyAfterTheTimeLimit() {
    CacheDiscovery discovery = new CacheDiscovery(false, locations, now::get);
    discovery.awaitPeers(engines());
    advance(1_000);
    discovery.awaitPeers(engines());
    assertTrue(discovery.finished());
  }

  private void advance(long millis) {
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
