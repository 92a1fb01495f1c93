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

  private AtomicLong now = new AtomicLong();
  private PromptLocations locations = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    locations = create();
  }

  @Test
  public void afterALossOfAllRoutersEachReplicaIsAskedByOneOfThem() {
    List<Replica> asked = new ArrayList<>();
    for (String router : ROUTERS) {
      CacheCensus census = new CacheCensus(false, locations, now::get);
      now.addAndGet(TimeUnit.MILLISECONDS.toNanos(300));
      asked.addAll(census.due(router, ROUTERS, engines()));
    }
    assertEquals(asked.size(), engines().size());
    assertTrue(asked.containsAll(engines()));
  }

  @Test
  public void noReplicaIsAskedOnceAnotherRouterHasTold() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    locations.heard(new PromptLocations.Placed(1, 2));
    assertEquals(census.due("a", ROUTERS, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void noReplicaIsAskedAtTheFirstStart() {
    CacheCensus census = new CacheCensus(true, locations, now::get);
    assertEquals(census.due("a", ROUTERS, engines()), List.of());
    assertTrue(census.finished());
  }

  @Test
  public void callersAreKeptAwayUntilTheAnswersAreIn() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(300));
    List<Replica> due = census.due("a", List.of("a"), engines());
    due.forEach(
        engine -> {
          assertFalse(census.finished());
          census.answered();
        });
    assertTrue(census.finished());
  }

  @Test
  public void callersAreNotKeptAwayForLongWhenNothingAnswers() {
    CacheCensus census = new CacheCensus(false, locations, now::get);
    assertFalse(census.finished());
    now.addAndGet(TimeUnit.SECONDS.toNanos(1));
    assertTrue(census.finished());
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
