package org.coltsfootvale.core.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a table of replicas believes of a store that was restored from a copy some seconds old. */
@Test(singleThreaded = true)
public class RestoredReplicasTest {

  private AtomicLong now = new AtomicLong();
  private AtomicLong era = new AtomicLong();
  private Set<String> used = new TreeSet<>();
  private ReplicaTable table = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    era = new AtomicLong(1);
    used = new TreeSet<>();
    table = create();
    table.put(ready("a", 1));
    table.put(ready("b", 1));
  }

  @Test
  public void aReplicaThatHasAnnouncedItsDepartureDoesNotComeBackByACopy() {
    table.put(ready("a", 1).asLeaving());
    restore(ready("a", 1), ready("b", 1));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void neitherDoesOneWhoseEntryWasGoneBefore() {
    table.put(ready("a", 1).asLeaving());
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    assertEquals(used, Set.of("b"));
    table.put(ready("a", 1));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatHadVanishedIsHeldBackUntilItsEntryHasOutlivedADeadServers() {
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    after(7_900);
    assertEquals(used, Set.of("b"));
    after(200);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void aReplicaThatHadVanishedAndWhoseEntryLapsesNeverComesBack() {
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    after(3_000);
    table.remove("a");
    after(9_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatHadVanishedAndWritesItsEntryAgainIsUsedAtOnce() {
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    table.put(ready("a", 1));
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void anotherReadingOfTheRestoredStoreProvesNothing() {
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    table.replaceAll(List.of(ready("a", 1), ready("b", 1)));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatWasStartedAgainIsNotReplacedByItsEarlierStart() {
    table.put(ready("a", 5));
    restore(ready("a", 1), ready("b", 1));
    assertEquals(table.find("a").orElseThrow().startedMillis(), 5);
    table.put(ready("a", 5));
    after(9_000);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void anEarlierStartOfAReplicaThatIsGoneIsNotUsedEither() {
    table.put(ready("a", 5));
    table.put(ready("a", 5).asLeaving());
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    after(9_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatTheCopyLacksGetsTheTimeInWhichEntriesComeBack() {
    restore(ready("b", 1));
    after(1_700);
    assertEquals(used, Set.of("a", "b"));
    table.put(ready("a", 1));
    after(9_000);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void oneThatIsStillMissingAfterThatIsGone() {
    restore(ready("b", 1));
    after(1_900);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aSecondRestoreInARowBringsNothingBack() {
    table.remove("a");
    restore(ready("a", 1), ready("b", 1));
    after(1_000);
    restore(ready("a", 1), ready("b", 1));
    after(6_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatVanishedInTheRestoredStoreItselfMayComeBackToIt() {
    restore(ready("b", 1));
    after(1_900);
    assertEquals(used, Set.of("b"));
    table.put(ready("a", 1));
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void aRouterThatStartsAfterTheRestoreLearnsOfDeparturesFromAnother() {
    table.put(ready("a", 1).asLeaving());
    table.remove("b");
    era.set(2);
    List<Departure> told = table.departures();
    used.clear();
    ReplicaTable started = create();
    started.replaceAll(List.of(ready("a", 1), ready("b", 1), ready("c", 1)));
    told.forEach(started::onPeerDeparture);
    assertEquals(used, Set.of("c"));
    assertTrue(started.find("a").orElseThrow().leaving());
    assertFalse(started.find("b").isPresent());
  }

  @Test
  public void aDepartureOfAnEarlierStartSaysNothingOfTheLaterOne() {
    table.put(ready("a", 5));
    table.onPeerDeparture(new Departure("a", 1, true, 1));
    assertEquals(used, Set.of("a", "b"));
  }

  private void restore(Replica... entries) {
    era.incrementAndGet();
    table.storeReturned();
    table.restoreAll(List.of(entries));
  }

  private void after(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    table.expire();
  }

  private ReplicaTable create() {
    ReplicaTable.Listener listener =
        new ReplicaTable.Listener() {
          @Override
          public void onReplica(Replica replica) {
            used.add(replica.id());
          }

          @Override
          public void onDeparture(Replica replica) {
            used.remove(replica.id());
          }
        };
    return new ReplicaTable(Duration.ofMillis(1_800), () -> now.get(), () -> era.get(), listener);
  }

  private static Replica ready(String id, long bornMillis) {
    return new Replica(
        id, bornMillis, "service", new HostPort("10.0.0." + id.charAt(0), 80), "dc", 4, false);
  }
}
