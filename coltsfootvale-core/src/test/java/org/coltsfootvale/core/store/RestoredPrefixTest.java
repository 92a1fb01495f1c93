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
  public void restoredStoreWithLowerRevisionsIsRead() {
    store.answer(new StorePage(List.of(entry("p/a", 90)), true, at(100)));
    store.fail(StoreException.Fault.NO_ANSWER);
    runScheduled();
    store.answer(new StorePage(List.of(entry("p/b", 40)), true, restoredAt(50)));
    assertEquals(events, List.of("full read p/a@90", "recovered", "recovered", "restored p/b@40"));
    assertEquals(store.lastCall(), "changes of p/ after 50");
    assertEquals(follower.position(), restoredAt(50));
  }

  @Test
  public void changesOfANewEraStartAFullReadAndAreNotMixedWithTheOldEra() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, at(10)));
    store.answer(new StoreChanges(List.of(entry("p/b", 12)), restoredAt(12)));
    assertEquals(events, List.of("full read p/a@9"));
    store.answer(new StorePage(List.of(entry("p/b", 12)), true, restoredAt(12)));
    assertEquals(events, List.of("full read p/a@9", "recovered", "restored p/b@12"));
    assertEquals(follower.currentEntries(), List.of(entry("p/b", 12)));
  }

  @Test
  public void reusedRevisionCountsAsAChangeAfterARestore() {
    store.answer(new StorePage(List.of(entry("p/a", 10)), true, at(10)));
    List<PrefixUpdate> published = new ArrayList<>();
    follower.onUpdate(published::add);
    follower.restart();
    store.fail(StoreException.Fault.NO_ANSWER);
    StoreEntry other = new StoreEntry("p/a", Optional.of(new byte[] {7}), 10);
    store.answer(new StorePage(List.of(other), true, restoredAt(10)));
    assertEquals(follower.currentEntries(), List.of(other));
    assertEquals(
        published.get(published.size() - 1),
        new PrefixUpdate("p/", 0, restoredAt(10), List.of(other), true, Optional.empty()));
  }

  @Test
  public void restoreDetectedByAnotherCallSchedulesOneFullRead() {
    readEmpty();
    store.era().observe(1);
    store.era().observe(2);
    store.era().observe(2);
    assertEquals(store.calls.size(), 2);
    assertEquals(scheduled.size(), 1);
    assertFalse(follower.current());
    runScheduled();
    assertEquals(store.lastCall(), "read p/ after ''");
  }

  @Test
  public void restoreDuringAFullReadRestartsIt() {
    store.answer(new StorePage(List.of(entry("p/a", 3)), false, restoredAt(10)));
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, new StorePosition(3, 8)));
    assertEquals(events, List.of());
    assertEquals(store.lastCall(), "read p/ after ''");
    store.answer(new StorePage(List.of(entry("p/b", 4)), true, new StorePosition(3, 8)));
    assertEquals(events, List.of("full read p/b@4"));
  }

  @Test
  public void repeatedHistoryLossDelaysTheFullRead() {
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    readEmpty();
    store.fail(StoreException.Fault.HISTORY_GONE);
    assertEquals(store.calls.size(), 4);
    assertEquals(scheduled.size(), 1);
  }

  @Test
  public void updatesOfAnEarlierEraAreIgnored() {
    store.answer(new StorePage(List.of(entry("p/a", 9)), true, restoredAt(10)));
    assertTrue(follower.apply(update(0, 99, entry("p/old", 99))));
    follower.apply(List.of(entry("p/old", 99)), at(99));
    assertEquals(events, List.of("full read p/a@9"));
  }

  @Test
  public void onlyAFullUpdateOfANewEraIsApplied() {
    readEmpty();
    follower.setReadsStore(false);
    assertFalse(
        follower.apply(
            new PrefixUpdate(
                "p/", 5, restoredAt(6), List.of(entry("p/a", 6)), false, Optional.empty())));
    assertTrue(
        follower.apply(
            new PrefixUpdate(
                "p/", 0, restoredAt(6), List.of(entry("p/a", 6)), true, Optional.empty())));
    assertEquals(events, List.of("full read", "recovered", "restored p/a@6"));
    assertEquals(store.era().latest(), 2);
  }
}
