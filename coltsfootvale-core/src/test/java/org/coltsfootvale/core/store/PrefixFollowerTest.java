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
  public void aReadingOfSeveralPagesIsTakenAsOne() {
    store.answer(new StorePage(List.of(entry("p/a", 3)), false, at(10)));
    assertEquals(store.lastCall(), "read p/ after 'p/a'");
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, at(12)));
    assertEquals(told, List.of("reading p/a@3 p/b@4"));
    assertEquals(store.lastCall(), "changes of p/ after 10");
  }

  @Test
  public void changesContinueFromTheRevisionThatTheStoreTells() {
    readEmpty();
    store.answer(new StoreChanges(List.of(entry("p/a", 11)), at(15)));
    assertEquals(store.lastCall(), "changes of p/ after 15");
    assertEquals(told, List.of("reading", "change p/a@11"));
  }

  @Test
  public void aChangeOlderThanTheReadingIsIgnored() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/a", 8)), at(11)));
    assertEquals(told, List.of("reading p/a@9"));
  }

  @Test
  public void lostHistoryIsReadAnew() {
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    assertEquals(store.lastCall(), "read p/ after ''");
    assertFalse(follower.current());
  }

  @Test
  public void afterAnOutageTheStoresReturnIsToldBeforeItsChanges() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    assertFalse(follower.current());
    runLater();
    store.fail(StoreException.Fault.REFUSED);
    runLater();
    store.answer(new StorePage(List.of(entry("p/a", 11)), true, at(15)));
    assertEquals(told, List.of("reading", "returned", "reading p/a@11"));
    assertTrue(follower.current());
  }

  @Test
  public void theStoresReturnIsNoticedAtOnceAndNotWithTheNextChange() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    runLater();
    assertEquals(store.lastCall(), "read p/ after ''");
    store.answer(new StorePage(List.of(), true, at(12)));
    assertEquals(told, List.of("reading", "returned", "reading"));
    assertEquals(store.lastCall(), "changes of p/ after 12");
  }

  @Test
  public void aFailedCallIsNotRepeatedAtOnce() {
    store.fail(StoreException.Fault.REFUSED);
    assertEquals(store.calls.size(), 1);
    assertEquals(later.size(), 1);
  }

  @Test
  public void theAnswerToACallFromBeforeARestartIsIgnored() {
    follower.restart();
    store.answer(new StorePage(List.of(entry("p/old", 1)), true, at(10)));
    store.answer(new StorePage(List.of(entry("p/new", 2)), true, at(20)));
    assertEquals(told, List.of("reading p/new@2"));
  }

  @Test
  public void whatAnotherRouterKnowsIsTakenOnlyIfItIsNewer() {
    follower.apply(List.of(entry("p/a", 5)), at(7));
    follower.apply(List.of(entry("p/b", 6)), at(6));
    assertEquals(told, List.of("reading p/a@5"));
    assertTrue(follower.initialised());
    assertEquals(follower.currentEntries(), List.of(entry("p/a", 5)));
  }

  @Test
  public void changesGatherAtTheStoreBeforeTheNextCallWhereThatIsAllowed() {
    settle = Duration.ofMillis(250);
    store = new ScriptedStore();
    follower = create();
    follower.start();
    readEmpty();
    store.answer(new StoreChanges(List.of(entry("p/a", 11)), at(15)));
    assertEquals(store.calls.size(), 2);
    runLater();
    assertEquals(store.lastCall(), "changes of p/ after 15");
    store.answer(new StoreChanges(List.of(), at(16)));
    assertEquals(store.lastCall(), "changes of p/ after 16");
  }

  @Test
  public void aCallThatIsLostIsReplacedOnceAnotherRouterHasToldTheChanges() {
    readEmpty();
    follower.apply(List.of(entry("p/a", 14)), at(15));
    assertEquals(store.lastCall(), "changes of p/ after 15");
    assertEquals(follower.latestChange(), at(14));
    store.answer(new StoreChanges(List.of(entry("p/late", 12)), at(13)));
    assertEquals(told, List.of("reading", "returned", "reading p/a@14"));
    store.answer(new StoreChanges(List.of(entry("p/b", 16)), at(17)));
    assertEquals(told, List.of("reading", "returned", "reading p/a@14", "change p/b@16"));
  }

  @Test
  public void aCallThatMayBeLostInAnOutageIsReplacedWhenTheStoreIsBack() {
    readEmpty();
    follower.onStoreRecovered();
    assertEquals(store.lastCall(), "changes of p/ after 10");
    assertEquals(store.calls.size(), 3);
    assertEquals(told, List.of("reading", "returned"));
  }

  @Test
  public void aFollowerThatHasNoticedTheOutageItselfIsLeftAlone() {
    readEmpty();
    store.fail(StoreException.Fault.NO_ANSWER);
    follower.onStoreRecovered();
    assertEquals(store.calls.size(), 2);
    assertEquals(told, List.of("reading"));
  }

  @Test
  public void changesThatAnotherRouterReadsAreTakenWithoutACallToTheStore() {
    firstWait = Duration.ofMillis(400);
    store = new ScriptedStore();
    follower = create();
    follower.start();
    readEmpty();
    follower.setReadsStore(false);
    runLater();
    assertEquals(store.calls.size(), 1);
    assertTrue(follower.apply(update(10, 12, entry("p/a", 12))));
    assertEquals(told, List.of("reading", "change p/a@12"));
    assertEquals(store.calls.size(), 1);
  }

  @Test
  public void aRouterThatStepsInAsksForTheChangesSinceWhatItWasTold() {
    readEmpty();
    follower.setReadsStore(false);
    follower.apply(update(10, 14, entry("p/a", 12)));
    follower.setReadsStore(true);
    assertEquals(store.lastCall(), "changes of p/ after 14");
  }

  @Test
  public void aReadingThatHasBegunIsNotLeftToOthers() {
    follower.setReadsStore(false);
    assertTrue(follower.readsStore());
    readEmpty();
    assertEquals(told, List.of("reading"));
  }

  @Test
  public void anUpdateThatBuildsOnSomethingUnknownIsNotTaken() {
    readEmpty();
    follower.setReadsStore(false);
    assertFalse(follower.apply(update(11, 12, entry("p/a", 12))));
    assertEquals(told, List.of("reading"));
    follower.apply(List.of(entry("p/b", 11), entry("p/a", 12)), at(12));
    assertEquals(told, List.of("reading", "reading p/b@11 p/a@12"));
  }

  @Test
  public void anUpdateThatArrivesLateBringsNothingBack() {
    readEmpty();
    follower.setReadsStore(false);
    StoreEntry gone = new StoreEntry("p/a", Optional.empty(), 12);
    follower.apply(update(10, 11, entry("p/a", 11)));
    follower.apply(update(11, 12, gone));
    follower.apply(update(10, 11, entry("p/a", 11)));
    assertEquals(follower.currentEntries(), List.of());
  }

  @Test
  public void aReadingOlderThanWhatWasToldIsNotTaken() {
    follower.apply(List.of(entry("p/a", 14)), at(15));
    store.answer(new StorePage(List.of(), true, at(13)));
    assertEquals(told, List.of("reading p/a@14"));
    assertEquals(store.lastCall(), "changes of p/ after 15");
  }

  @Test
  public void whatIsReadIsPassedOnWithWhatItBuildsOn() {
    List<PrefixUpdate> passedOn = new ArrayList<>();
    follower.onUpdate(passedOn::add);
    store.answer(new StorePage(List.of(entry("p/a", 9), entry("p/b", 8)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/c", 12)), at(13)));
    follower.restart();
    store.fail(StoreException.Fault.NO_ANSWER);
    store.answer(new StorePage(List.of(entry("p/a", 9), entry("p/c", 12)), true, at(20)));
    assertEquals(
        passedOn,
        List.of(
            update(0, 10, entry("p/a", 9), entry("p/b", 8)),
            update(9, 13, entry("p/c", 12)),
            update(12, 20, new StoreEntry("p/b", Optional.empty(), 20))));
  }

  @Test
  public void theStoresReturnIsPassedOnBeforeWhatHasChangedMeanwhile() {
    readEmpty();
    List<PrefixUpdate> passedOn = new ArrayList<>();
    follower.onUpdate(passedOn::add);
    store.fail(StoreException.Fault.NO_ANSWER);
    runLater();
    store.answer(new StorePage(List.of(entry("p/a", 11)), true, at(15)));
    assertEquals(
        passedOn, List.of(PrefixUpdate.ofStoreRecovery("p/"), update(0, 15, entry("p/a", 11))));
  }

  @Test
  public void aRouterThatHasNotReachedTheStoreAgainLearnsOfItsReturnFromOthers() {
    readEmpty();
    List<PrefixUpdate> passedOn = new ArrayList<>();
    follower.onUpdate(passedOn::add);
    store.fail(StoreException.Fault.NO_ANSWER);
    PrefixUpdate returned = PrefixUpdate.ofStoreRecovery("p/");
    follower.apply(returned);
    assertEquals(told, List.of("reading", "returned"));
    assertEquals(passedOn, List.of(returned));
  }
}
