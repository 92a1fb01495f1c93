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

/**
 * Guards against using departed replicas again after the store was restored from a copy some
 * seconds old.
 */
@Test(singleThreaded = true)
public class RestoredEntryValidatorTest {

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
    table.put(entry("a", 1));
    table.put(entry("b", 1));
  }

  @Test
  public void aReplicaThatAnnouncedItsDepartureIsNotRestored() {
    table.put(entry("a", 1).asLeaving());
    restore(entry("a", 1), entry("b", 1));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatAnnouncedItsDepartureIsNotRestoredAfterItsEntryWasRemoved() {
    table.put(entry("a", 1).asLeaving());
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    assertEquals(used, Set.of("b"));
    table.put(entry("a", 1));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aVanishedReplicaIsHeldBackForTheLongestEntryLife() {
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    advance(7_900);
    assertEquals(used, Set.of("b"));
    advance(200);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void aVanishedReplicaWhoseEntryExpiresIsNotUsed() {
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    advance(3_000);
    table.remove("a");
    advance(9_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aVanishedReplicaThatWritesItsEntryAgainIsUsedAtOnce() {
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    table.put(entry("a", 1));
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void anotherFullReadOfTheRestoredStoreDoesNotProveAReplicaAlive() {
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    table.replaceAll(List.of(entry("a", 1), entry("b", 1)));
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aRestartedReplicaIsNotReplacedByItsEarlierIncarnation() {
    table.put(entry("a", 5));
    restore(entry("a", 1), entry("b", 1));
    assertEquals(table.find("a").orElseThrow().startedMillis(), 5);
    table.put(entry("a", 5));
    advance(9_000);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void anEarlierIncarnationOfADepartedReplicaIsNotUsed() {
    table.put(entry("a", 5));
    table.put(entry("a", 5).asLeaving());
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    advance(9_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaMissingFromTheCopyIsKeptForTheGracePeriod() {
    restore(entry("b", 1));
    advance(1_700);
    assertEquals(used, Set.of("a", "b"));
    table.put(entry("a", 1));
    advance(9_000);
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void aReplicaMissingAfterTheGracePeriodIsRemoved() {
    restore(entry("b", 1));
    advance(1_900);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aSecondRestoreDoesNotRestoreDepartedReplicas() {
    table.remove("a");
    restore(entry("a", 1), entry("b", 1));
    advance(1_000);
    restore(entry("a", 1), entry("b", 1));
    advance(6_000);
    assertEquals(used, Set.of("b"));
  }

  @Test
  public void aReplicaThatVanishedAfterTheRestoreMayReturn() {
    restore(entry("b", 1));
    advance(1_900);
    assertEquals(used, Set.of("b"));
    table.put(entry("a", 1));
    assertEquals(used, Set.of("a", "b"));
  }

  @Test
  public void aRouterStartedAfterTheRestoreReceivesDeparturesFromAPeer() {
    table.put(entry("a", 1).asLeaving());
    table.remove("b");
    era.set(2);
    List<Departure> departures = table.departures();
    used.clear();
    ReplicaTable started = create();
    started.replaceAll(List.of(entry("a", 1), entry("b", 1), entry("c", 1)));
    departures.forEach(started::onPeerDeparture);
    assertEquals(used, Set.of("c"));
    assertTrue(started.find("a").orElseThrow().leaving());
    assertFalse(started.find("b").isPresent());
  }

  @Test
  public void aDepartureOfAnEarlierIncarnationDoesNotAffectALaterOne() {
    table.put(entry("a", 5));
    table.onPeerDeparture(new Departure("a", 1, true, 1));
    assertEquals(used, Set.of("a", "b"));
  }

  private void restore(Replica... entries) {
    era.incrementAndGet();
    table.storeReturned();
    table.restoreAll(List.of(entries));
  }

  private void advance(long millis) {
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

  private static Replica entry(String id, long startedMillis) {
    return new Replica(
        id, startedMillis, "service", new HostPort("10.0.0." + id.charAt(0), 80), "dc", 4, false);
  }
}
