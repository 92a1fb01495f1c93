package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class RecoveryReportsTest {

  private static final long SELF = 1;

  private AtomicLong nowNanos = new AtomicLong();
  private RecoveryReports reports = new RecoveryReports(SELF, nowNanos::get);

  @BeforeMethod
  void reset() {
    nowNanos = new AtomicLong();
    reports = new RecoveryReports(SELF, nowNanos::get);
  }

  @Test
  public void aReportIsNewOnce() {
    assertTrue(reports.receive(new StoreRecovery(2, 1)));
    assertFalse(reports.receive(new StoreRecovery(2, 1)));
    assertTrue(reports.receive(new StoreRecovery(2, 2)));
    assertTrue(reports.receive(new StoreRecovery(3, 1)));
  }

  @Test
  public void aReportThatALaterOneHasOvertakenIsNotNew() {
    assertTrue(reports.receive(new StoreRecovery(2, 2)));
    assertFalse(reports.receive(new StoreRecovery(2, 1)));
  }

  @Test
  public void anOwnReportThatComesBackIsNotNew() {
    assertFalse(reports.receive(reports.observe()));
  }

  @Test
  public void ownReportsAreNumbered() {
    assertEquals(reports.observe(), new StoreRecovery(SELF, 1));
    assertEquals(reports.observe(), new StoreRecovery(SELF, 2));
  }

  @Test
  public void aFurtherReportIsSentAfterTheInterval() {
    assertEquals(publishedCount(2), 1);
    assertEquals(publishedCount(3), 0);
    nowNanos.addAndGet(RecoveryReports.SEND_INTERVAL.toNanos());
    assertEquals(publishedCount(4), 1);
  }

  private int publishedCount(long reportOrigin) {
    AtomicInteger published = new AtomicInteger();
    reports.send(
        PrefixUpdate.ofStoreRecovery("p/", new StoreRecovery(reportOrigin, 1)),
        update -> published.incrementAndGet());
    return published.get();
  }

  @Test
  public void theReportsOfALimitedNumberOfObserversAreRemembered() {
    for (long origin = 2; origin < 2 + 10L * RecoveryReports.ORIGINS_MAX; origin++) {
      assertTrue(reports.receive(new StoreRecovery(origin, 1)));
    }
    assertTrue(reports.receive(new StoreRecovery(2, 1)), "the oldest observer is forgotten");
  }
}
