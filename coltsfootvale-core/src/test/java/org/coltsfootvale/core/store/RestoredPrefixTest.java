package org.coltsfootvale.core.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** A follower whose store is restored from a copy. */
@Test(singleThreaded = true)
public class RestoredPrefixTest extends PrefixFollowerFixture {

  @Test
  public void aRestoredStoreIsReadThoughItsRevisionsHaveGoneBack() {
    store.answer(new StorePage(List.of(entry("p/a", 90)), true, at(100)));
    store.fail(StoreException.Fault.NO_ANSWER);
    runLater();
    store.answer(new StorePage(List.of(entry("p/b", 40)), true, restoredAt(50)));
    assertEquals(told, List.of("reading p/a@90", "returned", "returned", "restored p/b@40"));
    assertEquals(store.lastCall(), "changes of p/ after 50");
    assertEquals(follower.position(), restoredAt(50));
  }

  @Test
  public void changesOfARestoredStoreLeadToAReadingAndAreNotMixedWithWhatWasKnown() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/b", 12)), restoredAt(12)));
    assertEquals(told, List.of("reading p/a@9"));
    store.answer(new StorePage(List.of(entry("p/b", 12)), true, restoredAt(12)));
    assertEquals(told, List.of("reading p/a@9", "returned", "restored p/b@12"));
    assertEquals(follower.currentEntries(), List.of(entry("p/b", 12)));
  }

  @Test
  public void aRevisionThatIsGivenOutAgainIsNewsAfterARestore() {
    store.answer(new StorePage(List.of(entry("p/a", 10)), true, at(10)));
    List<PrefixUpdate> passedOn = new ArrayList<>();
    follower.onUpdate(passedOn::add);
    follower.restart();
    store.fail(StoreException.Fault.NO_ANSWER);
    StoreEntry other = new StoreEntry("p/a", Optional.of(new byte[] {7}), 10);
    store.answer(new StorePage(List.of(other), true, restoredAt(10)));
    assertEquals(follower.currentEntries(), List.of(other));
    assertEquals(
        passedOn.get(passedOn.size() - 1),
        new PrefixUpdate("p/", 0, restoredAt(10), List.of(other), true, false));
  }

  @Test
  public void aRestoreThatAnotherCallNoticesLeadsToOneReadingLater() {
    readEmpty();
    store.era().observe(1);
    store.era().observe(2);
    store.era().observe(2);
    assertEquals(store.calls.size(), 2);
    assertEquals(later.size(), 1);
    assertFalse(follower.current());
    runLater();
    assertEquals(store.lastCall(), "read p/ after ''");
  }

  @Test
  public void aRestoreDuringTheReadingThatFollowsAnotherOneBeginsItAnew() {
    store.answer(new StorePage(List.of(entry("p/a", 3)), false, restoredAt(10)));
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, new StorePosition(3, 8)));
    assertEquals(told, List.of());
    assertEquals(store.lastCall(), "read p/ after ''");
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, new StorePosition(3, 8)));
    assertEquals(told, List.of("reading p/b@4"));
  }

  @Test
  public void aHistoryThatIsLostAgainAndAgainIsReadWithPauses() {
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    assertEquals(store.calls.size(), 4);
    assertEquals(later.size(), 1);
  }

  @Test
  public void aRouterOfAnEarlierEraTeachesNothing() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, restoredAt(10)));
    assertTrue(follower.apply(update(0, 99, entry("p/old", 99))));
    follower.apply(List.of(entry("p/old", 99)), at(99));
    assertEquals(told, List.of("reading p/a@9"));
  }

  @Test
  public void whatAnotherRouterReadsOfARestoredStoreIsTakenOnlyAsAWhole() {
    readEmpty();
    follower.setReadsStore(false);
    assertFalse(
        follower.apply(
            new PrefixUpdate("p/", 5, restoredAt(6), List.of(entry("p/a", 6)), false, false)));
    assertTrue(
        follower.apply(
            new PrefixUpdate("p/", 0, restoredAt(6), List.of(entry("p/a", 6)), true, false)));
    assertEquals(told, List.of("reading", "returned", "restored p/a@6"));
    assertEquals(store.era().latest(), 2);
  }
}
