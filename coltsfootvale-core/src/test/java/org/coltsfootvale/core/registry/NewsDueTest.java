package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class NewsDueTest {

  private static final long ROUND_MILLIS = 50;

  private AtomicLong now = new AtomicLong();
  private UpdateThrottle news = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(9));
    news = create();
    assertTrue(news.shouldPublish(false, false));
  }

  @Test
  public void whatIsUrgentIsToldInTheSameRound() {
    for (int i = 0; i < 5; i++) {
      assertTrue(round(true, false));
    }
  }

  @Test
  public void countsThatChangeAllTheTimeAreToldInEverySecondRound() {
    int told = 0;
    for (int i = 0; i < 20; i++) {
      told += round(false, true) ? 1 : 0;
    }
    assertEquals(told, 10);
  }

  @Test
  public void aRouterWithoutNewsSaysInEveryFourthRoundThatItIsAlive() {
    int told = 0;
    for (int i = 0; i < 20; i++) {
      told += round(false, false) ? 1 : 0;
    }
    assertEquals(told, 5);
  }

  @Test
  public void aSlowPaceTellsCountsInEachRound() {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(150));
    assertTrue(news.shouldPublish(false, true));
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(150));
    assertTrue(news.shouldPublish(false, true));
    assertFalse(round(false, false));
  }

  private boolean round(boolean urgent, boolean countsChanged) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS));
    return news.shouldPublish(urgent, countsChanged);
  }

  private UpdateThrottle create() {
    return new UpdateThrottle(() -> now.get());
  }
}
