package org.coltsfootvale.core.store;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class RevisionLagDetectorTest {

  private AtomicLong now = new AtomicLong();
  private RevisionLagDetector<Long> detector = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(9));
    detector = create();
  }

  @Test
  public void appliedChangeIsNotFetched() {
    assertFalse(detector.observe(7L, 7L));
    advance(600);
    assertFalse(detector.observe(7L, 7L));
  }

  @Test
  public void missingChangeIsFetchedAfterTheTolerance() {
    assertFalse(detector.observe(8L, 7L));
    advance(400);
    assertFalse(detector.observe(8L, 7L));
    advance(200);
    assertTrue(detector.observe(8L, 7L));
    assertFalse(detector.observe(8L, 7L));
    advance(600);
    assertTrue(detector.observe(8L, 7L));
  }

  @Test
  public void changesThatArriveInTimeAreNeverFetched() {
    for (long revision = 1; revision < 50; revision++) {
      assertFalse(detector.observe(revision + 1, revision));
      advance(100);
      assertFalse(detector.observe(revision + 1, revision + 1));
    }
  }

  @Test
  public void peerThatIsBehindDoesNotHideTheMissingChange() {
    assertFalse(detector.observe(8L, 7L));
    advance(300);
    assertFalse(detector.observe(7L, 7L));
    advance(300);
    assertTrue(detector.observe(9L, 7L));
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private RevisionLagDetector<Long> create() {
    return new RevisionLagDetector<>(Duration.ofMillis(500), () -> now.get());
  }
}
