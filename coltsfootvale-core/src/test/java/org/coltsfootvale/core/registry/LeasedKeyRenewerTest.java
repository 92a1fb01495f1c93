package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootvale.core.store.ScriptedStore;
import org.coltsfootvale.core.store.StoreException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class LeasedKeyRenewerTest {

  private ScriptedStore store = new ScriptedStore();
  private List<Runnable> scheduled = new ArrayList<>();
  private LeasedKeyRenewer renewer = create();

  @BeforeMethod
  void reset() {
    store = new ScriptedStore();
    scheduled = new ArrayList<>();
    renewer = create();
    renewer.start();
  }

  @Test
  public void theKeyIsWrittenWithTheGrantedLeaseAndRenewed() {
    grant(7);
    runNextTask();
    assertEquals(store.calls, List.of("grant", "put k with lease 7", "renew 7"));
  }

  @Test
  public void aLeaseThatHasEndedIsReplacedByANewOne() {
    grant(7);
    runNextTask();
    store.fail(StoreException.Fault.LEASE_ENDED);
    assertEquals(store.lastCall(), "grant");
  }

  @Test
  public void aRenewalWithoutAnswerIsRetriedWithTheSameLease() {
    grant(7);
    runNextTask();
    store.fail(StoreException.Fault.NO_ANSWER);
    runNextTask();
    assertEquals(store.lastCall(), "renew 7");
  }

  @Test
  public void stoppingEndsTheLease() {
    grant(7);
    renewer.stop();
    runNextTask();
    assertEquals(store.lastCall(), "end 7");
  }

  @Test
  public void theKeyIsWrittenWithANewLeaseAfterARestore() {
    store.era().observe(1);
    grant(7);
    store.era().observe(2);
    runRenewalAndRestart();
    assertEquals(store.calls, List.of("grant", "put k with lease 7", "grant"));
    grant(7);
    runNextTask();
    assertEquals(store.lastCall(), "renew 7");
  }

  @Test
  public void aLeaseFromBeforeARestoreIsNotEndedByAStop() {
    store.era().observe(1);
    grant(7);
    store.era().observe(2);
    renewer.stop();
    assertEquals(store.lastCall(), "put k with lease 7");
  }

  /**
   * Runs the renewal that was due before the restore, and then the task scheduled by the restore.
   */
  private void runRenewalAndRestart() {
    runNextTask();
    runNextTask();
  }

  private void grant(long lease) {
    store.answer(lease);
    store.answer(1L);
  }

  private void runNextTask() {
    scheduled.remove(0).run();
  }

  private LeasedKeyRenewer create() {
    return new LeasedKeyRenewer(
        store,
        "k",
        "v".getBytes(StandardCharsets.UTF_8),
        Duration.ofSeconds(3),
        (delay, task) -> scheduled.add(task),
        () -> 0.5);
  }
}
