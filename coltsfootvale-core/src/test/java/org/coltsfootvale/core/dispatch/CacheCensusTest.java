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
  private PromptLocations locations = create();

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
          new CacheCensus(false, locations, now::get).due(router, ROUTERS, NONE, engines()));
    }
    assertEquals(queried.size(), engines().size());
    assertTrue(queried.containsAll(engines()));
  }

  @Test
  public void theFirstStartedRouterQueriesForRoutersStillStarting() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    List<Replica> own = discovery.due("a", ROUTERS, NONE, engines());
    own.forEach(engine -> discovery.answered());
    assertFalse(discovery.finished());
    advance(130);
    List<Replica> rest = discovery.due("a", ROUTERS, NONE, engines());
    assertEquals(own.size() + rest.size(), engines().size());
    rest.forEach(engine -> discovery.answered());
    discovery.due("a", ROUTERS, NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void activeRoutersDivideTheReplicasOfInactiveOnes() {
    List<Replica> queried = new ArrayList<>();
    for (String router : List.of("a", "b")) {
      CacheCensus discovery = new CacheCensus(false, locations, now::get);
      queried.addAll(discovery.due(router, ROUTERS, NONE, engines()));
      advance(130);
      String other = router.equals("a") ? "b" : "a";
      queried.addAll(discovery.due(router, ROUTERS, List.of(other), engines()));
    }
    assertTrue(queried.containsAll(engines()));
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRouterWithOnlySomeCachesDiscoveredIsNotReady() {
    locations.heard(cacheOf(engines().get(0)));
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    discovery.due("z", ROUTERS, NONE, engines());
    assertFalse(discovery.finished());
  }

  @Test
  public void noReplicaIsQueriedOncePeersHavePublishedAllCaches() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    engines().forEach(engine -> locations.heard(cacheOf(engine)));
    assertEquals(discovery.due("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(discovery.finished());
  }

  @Test
  public void noReplicaIsQueriedAtTheFirstStart() {
    CacheCensus discovery = new CacheCensus(true, locations, now::get);
    assertEquals(discovery.due("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(discovery.finished());
  }

  @Test
  public void theRouterIsNotReadyUntilAllQueriesHaveEnded() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    List<Replica> due = discovery.due("a", List.of("a"), NONE, engines());
    assertEquals(due.size(), engines().size());
    discovery.due("a", List.of("a"), NONE, engines());
    assertFalse(discovery.finished());
    due.forEach(engine -> discovery.answered());
    discovery.due("a", List.of("a"), NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void theRouterBecomesReadyAfterTheTimeLimitWithoutAnswers() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    discovery.due("a", ROUTERS, NONE, engines());
    assertFalse(discovery.finished());
    advance(1_000);
    discovery.due("a", ROUTERS, NONE, engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void replicasThatJoinLaterAreNotQueried() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    discovery.due("a", ROUTERS, NONE, List.of());
    assertTrue(discovery.finished());
    assertEquals(discovery.due("a", List.of("a"), NONE, engines()), List.of());
  }

  @Test
  public void relaysLeaveReplicasToActiveRelaysWithoutATimeLimit() {
    List<Replica> queried = new ArrayList<>();
    for (String router : ROUTERS) {
      List<String> others = ROUTERS.stream().filter(other -> !other.equals(router)).toList();
      CacheCensus discovery = new CacheCensus(false, locations, now::get);
      queried.addAll(discovery.dueAtRelay(router, others, NONE, engines()));
      advance(400);
      queried.addAll(discovery.dueAtRelay(router, others, others, engines()));
    }
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRelayWithoutActiveRelaysQueriesAllReplicas() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    List<Replica> queried = new ArrayList<>(discovery.dueAtRelay("a", ROUTERS, NONE, engines()));
    advance(400);
    queried.addAll(discovery.dueAtRelay("a", ROUTERS, NONE, engines()));
    assertEquals(queried.size(), engines().size());
  }

  @Test
  public void aRouterAwaitingPeersIsReadyOncePeersHavePublishedAllCaches() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    discovery.leaveToOthers(engines());
    assertFalse(discovery.finished());
    engines().forEach(engine -> locations.heard(cacheOf(engine)));
    discovery.leaveToOthers(engines());
    assertTrue(discovery.finished());
  }

  @Test
  public void aRouterAwaitingPeersBecomesReadyAfterTheTimeLimit() {
    CacheCensus discovery = new CacheCensus(false, locations, now::get);
    discovery.leaveToOthers(engines());
    advance(1_000);
    discovery.leaveToOthers(engines());
    assertTrue(discovery.finished());
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private static PromptLocations.Placed cacheOf(Replica engine) {
    return new PromptLocations.Placed(1, ReplicaState.cacheHash(engine));
  }

  private PromptLocations create() {
    return new PromptLocations(Duration.ofSeconds(60), () -> now.get());
  }

  private static List<Replica> engines() {
    List<Replica> engines = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      engines.add(new Replica("e" + i, 1, "s", new HostPort("10.0.0.1", 80 + i), "dc", 64, false));
    }
    return engines;
  }
}
