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
  public void afterALossOfAllRoutersEachReplicaIsAskedAtOnceByOneOfThem() {
    List<Replica> asked = new ArrayList<>();
    for (String router : ROUTERS) {
      asked.addAll(
          new CacheCensus(false, locations, now::get).due(router, ROUTERS, NONE, engines()));
    }
    assertEquals(asked.size(), engines().size());
    assertTrue(asked.containsAll(engines()));
  }

  @Test
  public void theFirstRouterThatStartsAsksForThoseThatAreStillStarting() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    List<Replica> own = census.due("a", ROUTERS, NONE, engines());
    own.forEach(engine -> census.answered());
    assertFalse(census.finished());
    pass(130);
    List<Replica> rest = census.due("a", ROUTERS, NONE, engines());
    assertEquals(own.size() + rest.size(), engines().size());
    rest.forEach(engine -> census.answered());
    census.due("a", ROUTERS, NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void routersThatAreHeardShareTheReplicasOfThoseThatAreNot() {
    List<Replica> asked = new ArrayList<>();
    for (String router : List.of("a", "b")) {
      CacheCensus census = new CacheCensus(false, locations, now::get);
      asked.addAll(census.due(router, ROUTERS, NONE, engines()));
      pass(130);
      String other = router.equals("a") ? "b" : "a";
      asked.addAll(census.due(router, ROUTERS, List.of(other), engines()));
    }
    assertTrue(asked.containsAll(engines()));
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRouterThatHeardOfSomeCachesOnlyIsNotYetReady() {
    locations.heard(cacheOf(engines().get(0)));
    CacheCensus census = new CacheCensus(false, locations, now::get);
    census.due("z", ROUTERS, NONE, engines());
    assertFalse(census.finished());
  }

  @Test
  public void noReplicaIsAskedOnceOtherRoutersHaveToldOfAllCaches() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    engines().forEach(engine -> locations.heard(cacheOf(engine)));
    assertEquals(census.due("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void noReplicaIsAskedAtTheFirstStart() {
    CacheCensus census = new CacheCensus(true, locations, now::get);
    assertEquals(census.due("a", ROUTERS, NONE, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void callersAreKeptAwayUntilTheAnswersAreIn() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    List<Replica> due = census.due("a", List.of("a"), NONE, engines());
    assertEquals(due.size(), engines().size());
    census.due("a", List.of("a"), NONE, engines());
    assertFalse(census.finished());
    due.forEach(engine -> census.answered());
    census.due("a", List.of("a"), NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void callersAreNotKeptAwayForLongWhenNothingAnswers() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    census.due("a", ROUTERS, NONE, engines());
    assertFalse(census.finished());
    pass(1_000);
    census.due("a", ROUTERS, NONE, engines());
    assertTrue(census.finished());
  }

  @Test
  public void replicasThatJoinLaterAreNotAsked() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    census.due("a", ROUTERS, NONE, List.of());
    assertTrue(census.finished());
    assertEquals(census.due("a", List.of("a"), NONE, engines()), List.of());
  }

  @Test
  public void relaysLeaveReplicasToTheRelaysThatTheyHearHoweverLongThatTakes() {
    List<Replica> asked = new ArrayList<>();
    for (String router : ROUTERS) {
      List<String> others = ROUTERS.stream().filter(other -> !other.equals(router)).toList();
      CacheCensus census = new CacheCensus(false, locations, now::get);
      asked.addAll(census.dueAtRelay(router, others, NONE, engines()));
      pass(400);
      asked.addAll(census.dueAtRelay(router, others, others, engines()));
    }
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRelayThatHearsNoOtherOneAsksAllReplicas() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    List<Replica> asked = new ArrayList<>(census.dueAtRelay("a", ROUTERS, NONE, engines()));
    pass(400);
    asked.addAll(census.dueAtRelay("a", ROUTERS, NONE, engines()));
    assertEquals(asked.size(), engines().size());
  }

  @Test
  public void aRouterThatLeavesTheAskingToRelaysIsReadyOnceTheyHaveToldOfAllCaches() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    census.leaveToOthers(engines());
    assertFalse(census.finished());
    engines().forEach(engine -> locations.heard(cacheOf(engine)));
    census.leaveToOthers(engines());
    assertTrue(census.finished());
  }

  @Test
  public void aRouterThatLeavesTheAskingToRelaysDoesNotWaitForLong() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    census.leaveToOthers(engines());
    pass(1_000);
    census.leaveToOthers(engines());
    assertTrue(census.finished());
  }

  private void pass(long millis) {
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
