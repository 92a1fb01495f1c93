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

/** Delays of a router's loop as on a slowed host, and where callers are sent meanwhile. */
@Test(singleThreaded = true)
public class LatenessTest {

  private static final long PERIOD_MILLIS = 20;

  private AtomicLong now = new AtomicLong();
  private LoopLagDetector lateness = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    lateness = create();
  }

  @Test
  public void aRouterOnASlowedHostIsLateWithinASecond() {
    run(3, 300);
    assertTrue(lateness.lagging());
  }

  @Test
  public void aSingleCollectionOfGarbageMakesNoRouterLate() {
    run(50, PERIOD_MILLIS);
    run(1, 60);
    assertFalse(lateness.lagging());
  }

  @Test
  public void aRouterThatHasCaughtUpIsNoLongerLate() {
    run(5, 400);
    run(60, PERIOD_MILLIS + 2);
    assertFalse(lateness.lagging());
  }

  @Test
  public void delaysBetweenBothMarksChangeNothing() {
    run(100, PERIOD_MILLIS + 30);
    assertFalse(lateness.lagging());
    run(5, 400);
    run(100, PERIOD_MILLIS + 30);
    assertTrue(lateness.lagging());
  }

  @Test
  public void callersAreSentToRoutersThatAreNotLate() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1), router("c", 1));
    assertEquals(
        EntryRouterSelection.withoutLagging(all, Set.of("b")), List.of(all.get(0), all.get(2)));
  }

  @Test
  public void whenMostRoutersAreLateTheRestIsNotGivenTheCallersOfAll() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1), router("c", 1));
    assertEquals(EntryRouterSelection.withoutLagging(all, Set.of("b", "c")), all);
  }

  @Test
  public void aRouterIsNamedAsOftenAsItsCapacityAllows() {
    RouterAdvertisement large = router("large", 1.5);
    RouterAdvertisement small = router("small", 0.36);
    List<RouterAdvertisement> named = named(List.of(small, large, small), 64);
    assertEquals(named, List.of(small, large, large, large, large, small));
  }

  @Test
  public void aListThatWouldGrowTooLongNamesLargeRoutersLessOften() {
    RouterAdvertisement large = router("large", 1.5);
    RouterAdvertisement small = router("small", 0.36);
    assertEquals(named(List.of(small, large, small), 4).size(), 4);
    assertEquals(named(List.of(small, large, small), 3).size(), 3);
  }

  @Test
  public void aRouterThatHasJustStartedGetsFewCallersAndMoreAsItsCodeIsCompiled() {
    RouterAdvertisement router = router("a", 1);
    assertEquals(EntryRouterSelection.weight(router, Duration.ZERO), 0.25);
    assertEquals(EntryRouterSelection.weight(router, Duration.ofSeconds(2)), 0.625);
    assertEquals(EntryRouterSelection.weight(router, Duration.ofSeconds(60)), 1.0);
  }

  @Test
  public void routersThatAllHaveJustStartedShareTheCallersEvenly() {
    List<RouterAdvertisement> all = List.of(router("a", 1), router("b", 1));
    List<RouterAdvertisement> named =
        EntryRouterSelection.byWeight(
            all, router -> EntryRouterSelection.weight(router, Duration.ZERO), 64);
    assertEquals(named, all);
  }

  private static List<RouterAdvertisement> named(List<RouterAdvertisement> routers, int namesMax) {
    return EntryRouterSelection.byWeight(routers, RouterAdvertisement::capacityCores, namesMax);
  }

  private void run(int times, long periodMillis) {
    for (int i = 0; i < times; i++) {
      now.addAndGet(TimeUnit.MILLISECONDS.toNanos(periodMillis));
      lateness.onTick();
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
