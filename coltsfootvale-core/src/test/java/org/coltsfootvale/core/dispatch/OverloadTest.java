package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Far more requests than places: what a release costs, and when those that are refused return. */
@Test(singleThreaded = true)
public class OverloadTest extends DispatcherFixture {

  private static final Duration WINDOW = Duration.ofSeconds(2);

  private final AtomicLong clockReads = new AtomicLong();

  @BeforeMethod(dependsOnMethods = "reset")
  void countClockReads() {
    dispatcher =
        new ServiceDispatcher(
            DispatchOptions.defaults(),
            "dc",
            locations,
            peers,
            () -> {
              clockReads.incrementAndGet();
              return now.get();
            },
            RandomSource.SPLIT_MIX_64.create(7L));
  }

  @DataProvider
  Object[][] kinds() {
    return new Object[][] {{prompt("part", LONG), SLOTS}, {plain(1, 1_000), 2 * SLOTS}};
  }

  @Test(dataProvider = "kinds")
  public void whatAReleaseCostsDoesNotGrowWithWhatWaits(Spec spec, int placesAReplica) {
    addReplicas(10);
    List<Held> placed = new ArrayList<>();
    for (int i = 0; i < 10 * placesAReplica; i++) {
      Held held = new Held(spec);
      dispatcher.submit(held);
      placed.add(held);
    }
    wait(50, spec);
    long few = costOfRelease(placed.get(0));
    wait(400, spec);
    assertEquals(costOfRelease(placed.get(1)), few);
  }

  private void wait(int count, Spec spec) {
    int before = dispatcher.waiting();
    for (int i = 0; i < count; i++) {
      dispatcher.submit(new Held(spec));
    }
    assertEquals(dispatcher.waiting(), before + count);
  }

  private long costOfRelease(Held done) {
    long before = clockReads.get();
    done.placed().onAnswerStarted(done);
    dispatcher.release(done.placed());
    return clockReads.get() - before;
  }

  @Test
  public void aCallerThatIsRefusedReturnsOnceThoseAheadOfItAreServed() {
    Duration earliest = RetryDelay.compute(100, 100, WINDOW, 0);
    assertTrue(earliest.compareTo(WINDOW) >= 0, "returns after " + earliest);
  }

  @Test
  public void callersThatAreRefusedTogetherReturnSpreadOverTheTimeOfTheQueue() {
    Duration first = RetryDelay.compute(100, 100, WINDOW, 0);
    Duration last = RetryDelay.compute(100, 100, WINDOW, 0.999);
    assertTrue(last.minus(first).compareTo(Duration.ofMillis(1_900)) > 0, first + " to " + last);
  }

  @Test
  public void aCallerReturnsSoonWhereNothingWaits() {
    assertEquals(RetryDelay.compute(0, 0, WINDOW, 0), RetryDelay.MIN);
    assertTrue(RetryDelay.compute(0, 500, WINDOW, 0.999).compareTo(Duration.ofMillis(650)) <= 0);
  }

  @Test
  public void aServiceThatStandsStillKeepsCallersAwayForAFewSecondsOnly() {
    Duration longest = RetryDelay.compute(512, 0, WINDOW, 0.999);
    assertTrue(longest.compareTo(Duration.ofSeconds(9)) < 0, "returns after " + longest);
  }

  @Test
  public void theAdviceFollowsTheRateAtWhichRequestsEnd() {
    addReplicas(1);
    List<Held> placed = fill();
    wait(20, plain(1, 60_000));
    Duration stuck = dispatcher.retryDelay();
    for (Held held : placed) {
      now.addAndGet(TimeUnit.MILLISECONDS.toNanos(10));
      dispatcher.release(held.placed());
    }
    assertTrue(dispatcher.retryDelay().compareTo(stuck) < 0);
  }
}
