package org.coltsfootvale.core.retry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class DefaultCircuitBreakersTest {

  private static final String BACKEND = "e1";

  private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
  private DefaultCircuitBreakers circuits =
      new DefaultCircuitBreakers(CircuitOptions.DEFAULT, now::get, 3);

  @BeforeMethod
  void reset() {
    circuits = new DefaultCircuitBreakers(CircuitOptions.DEFAULT, now::get, 3);
  }

  private void advance(Duration duration) {
    now.updateAndGet(instant -> instant.plus(duration));
  }

  private void fail(int times) {
    for (int i = 0; i < times; i++) {
      circuits.onFailure(BACKEND);
    }
  }

  public void consecutiveFailuresOpenTheCircuit() {
    fail(4);
    assertTrue(circuits.isClosed(BACKEND));
    fail(1);
    assertFalse(circuits.isClosed(BACKEND));
    assertFalse(circuits.tryAcquire(BACKEND));
  }

  public void aSuccessBetweenFailuresKeepsTheCircuitClosed() {
    fail(4);
    circuits.onSuccess(BACKEND);
    fail(4);
    assertTrue(circuits.isClosed(BACKEND));
  }

  public void theHalfOpenCircuitAdmitsASingleProbe() {
    fail(5);
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
    assertFalse(circuits.tryAcquire(BACKEND));
  }

  public void aSuccessfulProbeClosesTheCircuit() {
    fail(5);
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
    circuits.onSuccess(BACKEND);
    assertTrue(circuits.isClosed(BACKEND));
  }

  public void aFailedProbeKeepsTheCircuitOpenForLonger() {
    fail(5);
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
    fail(1);
    advance(Duration.ofMillis(1300));
    assertFalse(circuits.tryAcquire(BACKEND));
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
  }

  public void delayedFailuresOfEarlierRequestsDoNotExtendTheOpenTime() {
    fail(50);
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
  }

  public void aProbeWithoutAResultIsFollowedByAnother() {
    fail(5);
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
    advance(Duration.ofMillis(1300));
    assertTrue(circuits.tryAcquire(BACKEND));
  }
}
