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
public class LeaseKeeperTest {

  private ScriptedStore store = new ScriptedStore();
  private List<Runnable> later = new ArrayList<>();
  private LeasedKeyRenewer keeper = create();

  @BeforeMethod
  void reset() {
    store = new ScriptedStore();
    later = new ArrayList<>();
    keeper = create();
    keeper.start();
  }

  @Test
  public void theKeyIsWrittenWithTheGrantedLeaseAndRenewed() {
    grant(7);
    runLater();
    assertEquals(store.calls, List.of("grant", "put k with lease 7", "renew 7"));
  }

  @Test
  public void aLeaseThatHasEndedIsReplacedByANewOne() {
    grant(7);
    runLater();
    store.fail(StoreException.Fault.LEASE_ENDED);
    assertEquals(store.lastCall(), "grant");
  }

  @Test
  public void aRenewalWithoutAnswerIsTriedAgainWithTheSameLease() {
    grant(7);
    runLater();
    store.fail(StoreException.Fault.NO_ANSWER);
    runLater();
    assertEquals(store.lastCall(), "renew 7");
  }

  @Test
  public void aStopEndsTheLeaseSoThatTheKeyIsGoneAtOnce() {
    grant(7);
    keeper.stop();
    runLater();
    assertEquals(store.lastCall(), "end 7");
  }

  @Test
  public void theKeyIsWrittenAnewAfterARestoreWhichMayHaveGivenItsLeaseToSomebodyElse() {
    store.era().observe(1);
    grant(7);
    store.era().observe(2);
    keeperTasks();
    assertEquals(store.calls, List.of("grant", "put k with lease 7", "grant"));
    grant(7);
    runLater();
    assertEquals(store.lastCall(), "renew 7");
  }

  @Test
  public void aLeaseFromBeforeARestoreIsNotEnded() {
    store.era().observe(1);
    grant(7);
    store.era().observe(2);
    keeper.stop();
    assertEquals(store.lastCall(), "put k with lease 7");
  }

  /** Runs the renewal that was due before the restore, and then what follows the restore. */
  private void keeperTasks() {
    runLater();
    runLater();
  }

  private void grant(long lease) {
    store.answer(lease);
    store.answer(1L);
  }

  private void runLater() {
    later.remove(0).run();
  }

  private LeasedKeyRenewer create() {
    return new LeasedKeyRenewer(
        store,
        "k",
        "v".getBytes(StandardCharsets.UTF_8),
        Duration.ofSeconds(3),
        (delay, task) -> later.add(task),
        () -> 0.5);
  }
}
