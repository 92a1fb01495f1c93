package org.coltsfootvale.core.quarantine;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class QuarantineSavingTest {

  private static final String FATAL = "fatal";

  private AtomicLong now = new AtomicLong();
  private AtomicBoolean elected = new AtomicBoolean(true);
  private PromptQuarantine quarantine = quarantine();
  private QuarantineSaving saving = saving();
  private int crashes;

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    elected = new AtomicBoolean(true);
    quarantine = quarantine();
    saving = saving();
    crashes = 0;
  }

  private PromptQuarantine quarantine() {
    return new PromptQuarantine(
        () -> now.get(), () -> 0.5, part -> true, new RecordingQuarantineListener());
  }

  private QuarantineSaving saving() {
    return new QuarantineSaving(quarantine, duty -> elected.get(), () -> now.get());
  }

  @Test
  public void nothingIsWrittenWithoutAQuarantine() {
    crash();
    assertFalse(saving.begin());
  }

  @Test
  public void theElectedRouterWritesEachChangeOnce() {
    quarantineFatal();
    assertTrue(saving.begin());
    assertFalse(saving.begin());
    saving.onWritten(quarantine.quarantinedParts());
    assertFalse(saving.begin());
    crash();
    assertTrue(saving.begin());
    saving.onWritten(quarantine.quarantinedParts());
    quarantine.release(FATAL);
    assertTrue(saving.begin());
  }

  @Test
  public void aChangeDuringAWriteIsWrittenAfterwards() {
    quarantineFatal();
    assertTrue(saving.begin());
    var written = quarantine.quarantinedParts();
    crash();
    saving.onWritten(written);
    assertTrue(saving.begin());
  }

  @Test
  public void aFailedWriteIsRepeatedAfterAWhile() {
    quarantineFatal();
    assertTrue(saving.begin());
    saving.onFailed();
    assertFalse(saving.begin());
    advance(1_000);
    assertTrue(saving.begin());
  }

  @Test
  public void aRouterThatTakesOverWritesARecentChange() {
    elected.set(false);
    quarantineFatal();
    assertFalse(saving.begin());
    advance(1_000);
    elected.set(true);
    assertTrue(saving.begin());
  }

  @Test
  public void aRouterThatTakesOverLaterAssumesThatTheChangeWasWritten() {
    elected.set(false);
    quarantineFatal();
    assertFalse(saving.begin());
    advance(6_000);
    assertFalse(saving.begin());
    elected.set(true);
    assertFalse(saving.begin());
  }

  @Test
  public void aRestoredStoreIsWrittenAgain() {
    quarantineFatal();
    assertTrue(saving.begin());
    saving.onWritten(quarantine.quarantinedParts());
    saving.onStoreRestored();
    assertTrue(saving.begin());
  }

  private void quarantineFatal() {
    crash();
    crash();
  }

  private void crash() {
    advance(500);
    crashes++;
    quarantine.onCrash(
        new ReplicaCrash(
            new ReplicaCrash.Incarnation("r" + crashes, 1),
            new HostPort("10.0.0.1", crashes),
            Set.of(FATAL),
            now.get()));
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
