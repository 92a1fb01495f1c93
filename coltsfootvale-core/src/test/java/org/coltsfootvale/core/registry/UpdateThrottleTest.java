package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class UpdateThrottleTest {

  private static final long ROUND_MILLIS = 50;

  private AtomicLong now = new AtomicLong();
  private UpdateThrottle throttle = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(9));
    throttle = create();
    assertTrue(throttle.shouldPublish(false, false));
  }

  @Test
  public void urgentChangesArePublishedInTheSameRound() {
    for (int i = 0; i < 5; i++) {
      assertTrue(round(true, false));
    }
  }

  @Test
  public void changedCountsArePublishedInEverySecondRound() {
    int published = 0;
    for (int i = 0; i < 20; i++) {
      published += round(false, true) ? 1 : 0;
    }
    assertEquals(published, 10);
  }

  @Test
  public void withoutChangesAHeartbeatIsPublishedInEveryFourthRound() {
    int published = 0;
    for (int i = 0; i < 20; i++) {
      published += round(false, false) ? 1 : 0;
    }
    assertEquals(published, 5);
  }

  @Test
  public void changedCountsArePublishedInEachRoundAtLongIntervals() {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(150));
    assertTrue(throttle.shouldPublish(false, true));
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(150));
    assertTrue(throttle.shouldPublish(false, true));
    assertFalse(round(false, false));
  }

  private boolean round(boolean urgent, boolean countsChanged) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS));
    return throttle.shouldPublish(urgent, countsChanged);
  }

  private UpdateThrottle create() {
    return new UpdateThrottle(() -> now.get());
  }
}
