package org.coltsfootvale.router.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.router.backend.CallWatchdog.Expiry;
import org.testng.annotations.Test;

/** Tests the cancellation of inactive and expired calls with a manual clock. */
public class CallWatchdogTest {

  private static final long INACTIVITY_TIMEOUT_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 1_000;

  private final AtomicLong now = new AtomicLong();
  private final AtomicInteger cancelled = new AtomicInteger();
  private final CallWatchdog watchdog = new CallWatchdog(() -> Instant.ofEpochMilli(now.get()));

  private CallWatchdog.Watch watch() {
    now.set(0);
    cancelled.set(0);
    return watchdog.watch(
        cancelled::incrementAndGet,
        Instant.ofEpochMilli(DEADLINE_MILLIS),
        INACTIVITY_TIMEOUT_MILLIS);
  }

  private void checkAt(long millis) {
    now.set(millis);
    watchdog.check();
  }

  @Test
  public void anInactiveCallIsCancelledOnce() {
    try (CallWatchdog.Watch watch = watch()) {
      checkAt(INACTIVITY_TIMEOUT_MILLIS - 1);
      assertNull(watch.expiry());
      checkAt(INACTIVITY_TIMEOUT_MILLIS);
      checkAt(INACTIVITY_TIMEOUT_MILLIS + 1);
      assertEquals(watch.expiry(), Expiry.INACTIVITY);
      assertEquals(cancelled.get(), 1);
    }
  }

  @Test
  public void activityExtendsTheInactivityTimeout() {
    try (CallWatchdog.Watch watch = watch()) {
      now.set(90);
      watch.onActivity();
      checkAt(180);
      assertNull(watch.expiry());
    }
  }

  @Test
  public void aSlowConsumerDoesNotCountAsInactivity() {
    try (CallWatchdog.Watch watch = watch()) {
      watch.suspend();
      checkAt(DEADLINE_MILLIS - 1);
      assertNull(watch.expiry());
      watch.resume(INACTIVITY_TIMEOUT_MILLIS);
      checkAt(DEADLINE_MILLIS);
      assertEquals(watch.expiry(), Expiry.DEADLINE);
    }
  }

  @Test
  public void aClosedWatchIsRemoved() {
    watch().close();
    checkAt(DEADLINE_MILLIS);
    assertEquals(cancelled.get(), 0);
    assertEquals(watchdog.size(), 0);
  }
}
