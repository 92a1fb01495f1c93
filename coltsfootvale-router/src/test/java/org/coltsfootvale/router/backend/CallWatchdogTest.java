package org.coltsfootvale.router.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.router.backend.CallWatchdog.Expiry;
import org.testng.annotations.Test;

/** The watchdog of open calls, with a hand-driven clock. */
public class CallWatchdogTest {

  private static final long SILENCE_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 1_000;

  private final AtomicLong now = new AtomicLong();
  private final AtomicInteger cancelled = new AtomicInteger();
  private final CallWatchdog watchdog = new CallWatchdog(() -> Instant.ofEpochMilli(now.get()));

  private CallWatchdog.Watch watch() {
    now.set(0);
    cancelled.set(0);
    return watchdog.watch(
        cancelled::incrementAndGet, Instant.ofEpochMilli(DEADLINE_MILLIS), SILENCE_MILLIS);
  }

  private void checkAt(long millis) {
    now.set(millis);
    watchdog.check();
  }

  @Test
  public void aSilentCallIsCancelledOnce() {
    try (CallWatchdog.Watch watch = watch()) {
      checkAt(SILENCE_MILLIS - 1);
      assertNull(watch.expiry());
      checkAt(SILENCE_MILLIS);
      checkAt(SILENCE_MILLIS + 1);
      assertEquals(watch.expiry(), Expiry.SILENCE);
      assertEquals(cancelled.get(), 1);
    }
  }

  @Test
  public void activityPutsOffTheEnd() {
    try (CallWatchdog.Watch watch = watch()) {
      now.set(90);
      watch.activity();
      checkAt(180);
      assertNull(watch.expiry());
    }
  }

  @Test
  public void aSlowReaderIsNoSilenceOfTheBackendServer() {
    try (CallWatchdog.Watch watch = watch()) {
      watch.hold();
      checkAt(DEADLINE_MILLIS - 1);
      assertNull(watch.expiry());
      watch.release(SILENCE_MILLIS);
      checkAt(DEADLINE_MILLIS);
      assertEquals(watch.expiry(), Expiry.DEADLINE);
    }
  }

  @Test
  public void anEndedCallIsForgotten() {
    watch().close();
    checkAt(DEADLINE_MILLIS);
    assertEquals(cancelled.get(), 0);
    assertEquals(watchdog.size(), 0);
  }
}
