package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class PrefixFollowerTest extends PrefixFollowerFixture {

  @Test
  public void severalPagesAreOneFullRead() {
    store.answer(new StorePage(List.of(entry("p/a", 3)), false, at(10)));
    assertEquals(store.lastCall(), "read p/ after 'p/a'");
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, at(12)));
    assertEquals(events, List.of("full read p/a@3 p/b@4"));
    assertEquals(store.lastCall(), "changes of p/ after 10");
  }

  @Test
  public void changesContinueFromTheRevisionInTheAnswer() {
    readEmpty();
    store.answer(new StoreChanges(List.of(entry("p/a", 11)), at(15)));
    assertEquals(store.lastCall(), "changes of p/ after 15");
    assertEquals(events, List.of("full read", "change p/a@11"));
  }

  @Test
  public void changeOlderThanTheFullReadIsIgnored() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/a", 8)), at(11)));
    assertEquals(events, List.of("full read p/a@9"));
  }

  @Test
  public void lostHistoryStartsAFullRead() {
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    assertEquals(store.lastCall(), "read p/ after ''");
    assertFalse(follower.current());
  }

  @Test
  public void recoveryIsReportedBeforeTheChangesOfAnOutage() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    assertFalse(follower.current());
    runScheduled();
    store.fail(StoreException.Fault.REFUSED);
    runScheduled();
    store.answer(new StorePage(List.of(entry("p/a", 11)), true, at(15)));
    assertEquals(events, List.of("full read", "recovered", "full read p/a@11"));
    assertTrue(follower.current());
  }

  @Test
  public void recoveryIsDetectedWithoutWaitingForAChange() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    runScheduled();
    assertEquals(store.lastCall(), "read p/ after ''");
    store.answer(new StorePage(List.of(), true, at(12)));
    assertEquals(events, List.of("full read", "recovered", "full read"));
    assertEquals(store.lastCall(), "changes of p/ after 12");
  }

  @Test
  public void failedCallIsRetriedAfterADelay() {
    store.fail(StoreException.Fault.REFUSED);
    assertEquals(store.calls.size(), 1);
    assertEquals(scheduled.size(), 1);
  }

  @Test
  public void answerToACallFromBeforeARestartIsIgnored() {
    follower.restart();
    store.answer(new StorePage(List.of(entry("p/old", 1)), true, at(10)));
    store.answer(new StorePage(List.of(entry("p/new", 2)), true, at(20)));
    assertEquals(events, List.of("full read p/new@2"));
  }

  @Test
  public void stateOfAPeerIsAppliedOnlyIfNewer() {
    follower.apply(List.of(entry("p/a", 5)), at(7));
    follower.apply(List.of(entry("p/b", 6)), at(6));
    assertEquals(events, List.of("full read p/a@5"));
    assertTrue(follower.initialised());
    assertEquals(follower.currentEntries(), List.of(entry("p/a", 5)));
  }

  @Test
  public void nextCallWaitsForTheCoalescingDelay() {
    coalescingDelay = Duration.ofMillis(250);
    store = new ScriptedStore();
    follower = create();
    follower.start();
    readEmpty();
    store.answer(new StoreChanges(List.of(entry("p/a", 11)), at(15)));
    assertEquals(store.calls.size(), 2);
    runScheduled();
    assertEquals(store.lastCall(), "changes of p/ after 15");
    store.answer(new StoreChanges(List.of(), at(16)));
    assertEquals(store.lastCall(), "changes of p/ after 16");
  }

  @Test
  public void lostCallIsReplacedWhenAPeerIsAhead() {
    readEmpty();
    follower.apply(List.of(entry("p/a", 14)), at(15));
    assertEquals(store.lastCall(), "changes of p/ after 15");
    assertEquals(follower.latestChange(), at(14));
    store.answer(new StoreChanges(List.of(entry("p/late", 12)), at(13)));
    assertEquals(events, List.of("full read", "recovered", "full read p/a@14"));
    store.answer(new StoreChanges(List.of(entry("p/b", 16)), at(17)));
    assertEquals(events, List.of("full read", "recovered", "full read p/a@14", "change p/b@16"));
  }

  @Test
  public void openCallIsReplacedWhenTheStoreRecovers() {
    readEmpty();
    follower.onStoreRecovered();
    assertEquals(store.lastCall(), "changes of p/ after 10");
    assertEquals(store.calls.size(), 3);
    assertEquals(events, List.of("full read", "recovered"));
  }

  @Test
  public void recoveryReportIsIgnoredAfterAFailedCall() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    follower.onStoreRecovered();
    assertEquals(store.calls.size(), 2);
    assertEquals(events, List.of("full read"));
  }

  @Test
  public void updatesOfAPeerAreAppliedWithoutACallToTheStore() {
    initialWatchDelay = Duration.ofMillis(400);
    store = new ScriptedStore();
    follower = create();
    follower.start();
    readEmpty();
    follower.setReadsStore(false);
    runScheduled();
    assertEquals(store.calls.size(), 1);
    assertTrue(follower.apply(update(10, 12, entry("p/a", 12))));
    assertEquals(events, List.of("full read", "change p/a@12"));
    assertEquals(store.calls.size(), 1);
  }

  @Test
  public void callsResumeAfterTheLatestUpdateOfAPeer() {
    readEmpty();
    follower.setReadsStore(false);
    follower.apply(update(10, 14, entry("p/a", 12)));
    follower.setReadsStore(true);
    assertEquals(store.lastCall(), "changes of p/ after 14");
  }

  @Test
  public void fullReadInProgressIsCompleted() {
    follower.setReadsStore(false);
    assertTrue(follower.readsStore());
    readEmpty();
    assertEquals(events, List.of("full read"));
  }

  @Test
  public void updateAfterAGapIsNotApplied() {
    readEmpty();
    follower.setReadsStore(false);
    assertFalse(follower.apply(update(11, 12, entry("p/a", 12))));
    assertEquals(events, List.of("full read"));
    follower.apply(List.of(entry("p/b", 11), entry("p/a", 12)), at(12));
    assertEquals(events, List.of("full read", "full read p/b@11 p/a@12"));
  }

  @Test
  public void delayedUpdateDoesNotRestoreADeletedKey() {
    readEmpty();
    follower.setReadsStore(false);
    StoreEntry deleted = new StoreEntry("p/a", Optional.empty(), 12);
    follower.apply(update(10, 11, entry("p/a", 11)));
    follower.apply(update(11, 12, deleted));
    follower.apply(update(10, 11, entry("p/a", 11)));
    assertEquals(follower.currentEntries(), List.of());
  }

  @Test
  public void fullReadOlderThanTheStateOfAPeerIsIgnored() {
    follower.apply(List.of(entry("p/a", 14)), at(15));
    store.answer(new StorePage(List.of(), true, at(13)));
    assertEquals(events, List.of("full read p/a@14"));
    assertEquals(store.lastCall(), "changes of p/ after 15");
  }

  @Test
  public void updatesArePublishedWithTheirBaseRevision() {
    List<PrefixUpdate> published = new ArrayList<>();
    follower.onUpdate(published::add);
    store.answer(new StorePage(List.of(entry("p/a", 9), entry("p/b", 8)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/c", 12)), at(13)));
    follower.restart();
    store.fail(StoreException.Fault.NO_ANSWER);
    store.answer(new StorePage(List.of(entry("p/a", 9), entry("p/c", 12)), true, at(20)));
    assertEquals(
        published,
        List.of(
            update(0, 10, entry("p/a", 9), entry("p/b", 8)),
            update(9, 13, entry("p/c", 12)),
            update(12, 20, new StoreEntry("p/b", Optional.empty(), 20))));
  }

  @Test
  public void recoveryIsPublishedBeforeTheChangesOfAnOutage() {
    readEmpty();
    List<PrefixUpdate> published = new ArrayList<>();
    follower.onUpdate(published::add);
    store.fail(StoreException.Fault.NO_ANSWER);
    runScheduled();
    store.answer(new StorePage(List.of(entry("p/a", 11)), true, at(15)));
    StoreRecovery recovery = published.get(0).recovery().orElseThrow();
    assertEquals(
        published,
        List.of(PrefixUpdate.ofStoreRecovery("p/", recovery), update(0, 15, entry("p/a", 11))));
  }

  @Test
  public void recoveryReportOfAPeerIsApplied() {
    readEmpty();
    List<PrefixUpdate> published = new ArrayList<>();
    follower.onUpdate(published::add);
    store.fail(StoreException.Fault.NO_ANSWER);
    PrefixUpdate recovery = PrefixUpdate.ofStoreRecovery("p/", new StoreRecovery(77, 1));
    follower.apply(recovery);
    assertEquals(events, List.of("full read", "recovered"));
    assertEquals(published, List.of(recovery));
  }

  @Test
  public void anUnidentifiedRecoveryReportIsAppliedAndNotForwarded() {
    readEmpty();
    List<PrefixUpdate> published = new ArrayList<>();
    follower.onUpdate(published::add);
    follower.apply(PrefixUpdate.ofStoreRecovery("p/", new StoreRecovery(0, 0)));
    assertEquals(events, List.of("full read", "recovered"));
    assertEquals(published, List.of());
  }

  @Test
  public void aRecoveryReportedByAnotherFollowerIsAppliedWithoutOwnCalls() {
    readEmpty();
    follower.setReadsStore(false);
    follower.onStoreRecovered();
    assertEquals(events, List.of("full read", "recovered"));
    assertEquals(store.calls.size(), 2);
  }
}
