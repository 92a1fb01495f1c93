package org.coltsfootvale.core.replica;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class ReplicaTableTest {

  private static final Duration GRACE = Duration.ofMillis(2_200);

  private AtomicLong now = new AtomicLong();
  private AtomicLong era = new AtomicLong();
  private List<String> events = new ArrayList<>();
  private ReplicaTable table = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    era = new AtomicLong(1);
    events = new ArrayList<>();
    table = create();
  }

  @Test
  public void anAnnouncedDepartureRemovesTheReplicaAtOnce() {
    table.put(replica("a", 1, false));
    table.put(replica("a", 1, true));
    assertEquals(events, List.of("use a", "leave a"));
  }

  @Test
  public void aDeletedEntryIsRemovedAtOnceWithoutAnOutage() {
    table.put(replica("a", 1, false));
    table.remove("a");
    assertEquals(events, List.of("use a", "leave a"));
  }

  @Test
  public void anEntryThatExpiredInAnOutageIsKeptUntilItIsWrittenAgain() {
    table.put(replica("a", 1, false));
    table.storeReturned();
    table.replaceAll(List.of());
    advance(1_900);
    table.put(replica("a", 1, false));
    advance(5_000);
    assertEquals(events, List.of("use a", "use a"));
  }

  @Test
  public void anEntryMissingAfterTheGracePeriodIsRemoved() {
    table.put(replica("a", 1, false));
    table.storeReturned();
    table.replaceAll(List.of());
    advance(2_100);
    assertEquals(events, List.of("use a"));
    advance(200);
    assertEquals(events, List.of("use a", "leave a"));
  }

  @Test
  public void anAnnouncedDepartureHasNoGracePeriod() {
    table.put(replica("a", 1, true));
    table.storeReturned();
    table.remove("a");
    assertEquals(table.all(), List.of());
  }

  @Test
  public void aRestartedReplicaReplacesItsEarlierIncarnation() {
    table.put(replica("a", 1, false));
    table.put(replica("a", 2, false));
    assertEquals(events, List.of("use a", "leave a", "use a"));
  }

  @Test
  public void aRecordFromBeforeADepartureDoesNotRevokeIt() {
    table.put(replica("a", 1, false));
    table.onDepartureAnnounced("a", 1);
    table.put(replica("a", 1, false));
    assertEquals(events, List.of("use a", "leave a"));
  }

  @Test
  public void aReplicaThatRestartsAfterItsDepartureIsUsed() {
    table.put(replica("a", 1, true));
    table.put(replica("a", 2, false));
    assertEquals(events, List.of("leave a", "leave a", "use a"));
  }

  @Test
  public void aReplicaSupersedesAnUnexpiredEntryWithItsAddress() {
    table.put(replicaAt("10.0.0.1", "dead", 1));
    table.put(replicaAt("10.0.0.1", "new", 2));
    table.put(replicaAt("10.0.0.1", "dead", 1));
    assertEquals(events, List.of("use dead", "leave dead", "use new", "leave dead"));
  }

  @Test
  public void aFullReadWithTwoReplicasAtAnAddressKeepsTheLaterOne() {
    table.replaceAll(List.of(replicaAt("10.0.0.1", "new", 2), replicaAt("10.0.0.1", "dead", 1)));
    assertEquals(events, List.of("use new", "leave dead"));
  }

  @Test
  public void replicasAtDifferentAddressesAreIndependent() {
    table.put(replicaAt("10.0.0.1", "a", 1));
    table.put(replicaAt("10.0.0.2", "b", 2));
    assertEquals(events, List.of("use a", "use b"));
  }

  private static Replica replicaAt(String host, String id, long startedMillis) {
    return new Replica(id, startedMillis, "service", new HostPort(host, 80), "dc", 4, false);
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
            events.add("use " + replica.id());
          }

          @Override
          public void onDeparture(Replica replica) {
            events.add("leave " + replica.id());
          }
        };
    return new ReplicaTable(GRACE, () -> now.get(), () -> era.get(), listener);
  }

  private static Replica replica(String id, long startedMillis, boolean leaving) {
    return new Replica(
        id, startedMillis, "service", new HostPort("10.0.0.1", 80), "dc", 4, leaving);
  }
}
