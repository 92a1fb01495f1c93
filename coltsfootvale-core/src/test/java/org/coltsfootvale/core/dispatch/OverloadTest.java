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

/** The cost of releasing a slot and the retry delays of refused requests under overload. */
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
            quarantine,
            () -> {
              clockReads.incrementAndGet();
              return now.get();
            },
            RandomSource.SPLIT_MIX_64.create(7L),
            ColdAdmission.off());
  }

  @DataProvider
  Object[][] kinds() {
    return new Object[][] {
      {prompt("part", LONG_PREFIX_TOKENS), SLOTS}, {withoutPrompt(1, 1_000), 2 * SLOTS}
    };
  }

  @Test(dataProvider = "kinds")
  public void theCostOfAReleaseDoesNotGrowWithTheQueue(Spec spec, int slotsPerReplica) {
    addReplicas(10);
    List<TestRequest> placed = new ArrayList<>();
    for (int i = 0; i < 10 * slotsPerReplica; i++) {
      TestRequest request = new TestRequest(spec);
      dispatcher.submit(request);
      placed.add(request);
    }
    enqueue(50, spec);
    long costWithShortQueue = costOfRelease(placed.get(0));
    enqueue(400, spec);
    assertEquals(costOfRelease(placed.get(1)), costWithShortQueue);
  }

  private void enqueue(int count, Spec spec) {
    int before = dispatcher.waiting();
    for (int i = 0; i < count; i++) {
      dispatcher.submit(new TestRequest(spec));
    }
    assertEquals(dispatcher.waiting(), before + count);
  }

  private long costOfRelease(TestRequest completed) {
    long before = clockReads.get();
    completed.placed().onAnswerStarted(completed);
    dispatcher.release(completed.placed());
    return clockReads.get() - before;
  }

  @Test
  public void theRetryDelayCoversTheTimeToDrainTheQueue() {
    Duration earliest = RetryDelay.compute(100, 100, WINDOW, 0);
    assertTrue(earliest.compareTo(WINDOW) >= 0, "retry delay " + earliest);
  }

  @Test
  public void retriesAreSpreadOverTheTimeToDrainTheQueue() {
    Duration first = RetryDelay.compute(100, 100, WINDOW, 0);
    Duration last = RetryDelay.compute(100, 100, WINDOW, 0.999);
    assertTrue(last.minus(first).compareTo(Duration.ofMillis(1_900)) > 0, first + " to " + last);
  }

  @Test
  public void theRetryDelayIsShortWithAnEmptyQueue() {
    assertEquals(RetryDelay.compute(0, 0, WINDOW, 0), RetryDelay.MIN);
    assertTrue(RetryDelay.compute(0, 500, WINDOW, 0.999).compareTo(Duration.ofMillis(650)) <= 0);
  }

  @Test
  public void theRetryDelayIsBoundedWithoutCompletions() {
    Duration longest = RetryDelay.compute(512, 0, WINDOW, 0.999);
    assertTrue(longest.compareTo(Duration.ofSeconds(9)) < 0, "retry delay " + longest);
  }

  @Test
  public void theRetryDelayFollowsTheCompletionRate() {
    addReplicas(1);
    List<TestRequest> placed = fillReplicas();
    enqueue(20, withoutPrompt(1, 60_000));
    Duration delayWithoutCompletions = dispatcher.retryDelay();
    for (TestRequest request : placed) {
      now.addAndGet(TimeUnit.MILLISECONDS.toNanos(10));
      dispatcher.release(request.placed());
    }
    assertTrue(dispatcher.retryDelay().compareTo(delayWithoutCompletions) < 0);
  }
}
