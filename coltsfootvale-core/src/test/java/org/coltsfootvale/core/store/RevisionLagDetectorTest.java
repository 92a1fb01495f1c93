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
  private RevisionLagDetector<Long> lag = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(9));
    lag = create();
  }

  @Test
  public void aChangeThatIsKnownHereIsNotAskedFor() {
    assertFalse(lag.observe(7L, 7L));
    pass(600);
    assertFalse(lag.observe(7L, 7L));
  }

  @Test
  public void aChangeThatDoesNotArriveIsAskedForAfterTheTimeAllowed() {
    assertFalse(lag.observe(8L, 7L));
    pass(400);
    assertFalse(lag.observe(8L, 7L));
    pass(200);
    assertTrue(lag.observe(8L, 7L));
    assertFalse(lag.observe(8L, 7L));
    pass(600);
    assertTrue(lag.observe(8L, 7L));
  }

  @Test
  public void aStreamOfChangesThatArriveInTimeIsNeverAskedFor() {
    for (long revision = 1; revision < 50; revision++) {
      assertFalse(lag.observe(revision + 1, revision));
      pass(100);
      assertFalse(lag.observe(revision + 1, revision + 1));
    }
  }

  @Test
  public void aRouterThatLagsItselfDoesNotHideWhatAnotherHasSeen() {
    assertFalse(lag.observe(8L, 7L));
    pass(300);
    assertFalse(lag.observe(7L, 7L));
    pass(300);
    assertTrue(lag.observe(9L, 7L));
  }

  private void pass(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private RevisionLagDetector<Long> create() {
    return new RevisionLagDetector<>(Duration.ofMillis(500), () -> now.get());
  }
}
