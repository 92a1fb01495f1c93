package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Detection of a lagging event loop, and the selection of routers for callers. */
@Test(singleThreaded = true)
public class LoopLagDetectorTest {

  private static final long PERIOD_MILLIS = 20;

  private AtomicLong now = new AtomicLong();
  private LoopLagDetector detector = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    detector = create();
  }

  @Test
  public void aRouterOnASlowedHostLagsWithinASecond() {
    runTask(3, 300);
    assertTrue(detector.lagging());
  }

  @Test
  public void aSingleGarbageCollectionIsNoLag() {
    runTask(50, PERIOD_MILLIS);
    runTask(1, 60);
    assertFalse(detector.lagging());
  }

  @Test
  public void aRouterThatHasCaughtUpIsNoLongerLagging() {
    runTask(5, 400);
    runTask(60, PERIOD_MILLIS + 2);
    assertFalse(detector.lagging());
  }

  @Test
  public void delaysBetweenBothThresholdsKeepTheState() {
    runTask(100, PERIOD_MILLIS + 30);
    assertFalse(detector.lagging());
    runTask(5, 400);
    runTask(100, PERIOD_MILLIS + 30);
    assertTrue(detector.lagging());
  }

  @Test
  public void laggingRoutersAreNotListed() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1), router("c", 1));
    assertEquals(
        EntryRouterSelection.withoutLagging(all, Set.of("b")), List.of(all.get(0), all.get(2)));
  }

  @Test
  public void allRoutersAreListedWhenMostAreLagging() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1), router("c", 1));
    assertEquals(EntryRouterSelection.withoutLagging(all, Set.of("b", "c")), all);
  }

  @Test
  public void routersAreListedInProportionToTheirCapacity() {
    RouterAdvertisement large = router("large", 1.5);
    RouterAdvertisement small = router("small", 0.36);
    List<RouterAdvertisement> weightedList = weightedList(List.of(small, large, small), 64);
    assertEquals(weightedList, List.of(small, large, large, large, large, small));
  }

  @Test
  public void entriesOfLargeRoutersAreReducedToFitTheList() {
    RouterAdvertisement large = router("large", 1.5);
    RouterAdvertisement small = router("small", 0.36);
    assertEquals(weightedList(List.of(small, large, small), 4).size(), 4);
    assertEquals(weightedList(List.of(small, large, small), 3).size(), 3);
  }

  @Test
  public void theWeightOfARouterGrowsDuringItsWarmUp() {
    RouterAdvertisement router = router("a", 1);
    assertEquals(EntryRouterSelection.weight(router, Duration.ZERO), 0.25);
    assertEquals(EntryRouterSelection.weight(router, Duration.ofSeconds(2)), 0.625);
    assertEquals(EntryRouterSelection.weight(router, Duration.ofSeconds(60)), 1.0);
  }

  @Test
  public void routersThatStartedTogetherAreListedEqually() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1));
    List<RouterAdvertisement> weightedList =
        EntryRouterSelection.byWeight(
            all, router -> EntryRouterSelection.weight(router, Duration.ZERO), 64);
    assertEquals(weightedList, all);
  }

  private static List<RouterAdvertisement> weightedList(
      List<RouterAdvertisement> routers, int entriesMax) {
    return EntryRouterSelection.byWeight(routers, RouterAdvertisement::capacityCores, entriesMax);
  }

  private void runTask(int times, long periodMillis) {
    for (int i = 0; i < times; i++) {
      now.addAndGet(TimeUnit.MILLISECONDS.toNanos(periodMillis));
      detector.onTick();
    }
  }

  private LoopLagDetector create() {
    return new LoopLagDetector(Duration.ofMillis(PERIOD_MILLIS), () -> now.get());
  }

  private static RouterAdvertisement router(String id, double cores) {
    return new RouterAdvertisement(
        id, "dc", new HostPort("10.0.0.1", 80), new HostPort("10.0.0.1", 81), cores);
  }
}
