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
  private List<String> told = new ArrayList<>();
  private ReplicaTable table = create();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
    era = new AtomicLong(1);
    told = new ArrayList<>();
    table = create();
  }

  @Test
  public void aReplicaThatAnnouncesItsDepartureIsTakenOutAtOnce() {
    table.put(replica("a", 1, false));
    table.put(replica("a", 1, true));
    assertEquals(told, List.of("use a", "leave a"));
  }

  @Test
  public void anEntryThatIsDeletedWhileTheStoreIsCalmIsTakenOutAtOnce() {
    table.put(replica("a", 1, false));
    table.remove("a");
    assertEquals(told, List.of("use a", "leave a"));
  }

  @Test
  public void anEntryThatLapsedDuringAnOutageIsKeptUntilItIsBack() {
    table.put(replica("a", 1, false));
    table.storeReturned();
    table.replaceAll(List.of());
    after(1_900);
    table.put(replica("a", 1, false));
    after(5_000);
    assertEquals(told, List.of("use a", "use a"));
  }

  @Test
  public void anEntryThatIsStillMissingAfterAnOutageIsTakenOut() {
    table.put(replica("a", 1, false));
    table.storeReturned();
    table.replaceAll(List.of());
    after(2_100);
    assertEquals(told, List.of("use a"));
    after(200);
    assertEquals(told, List.of("use a", "leave a"));
  }

  @Test
  public void anAnnouncedDepartureIsNotTakenForALapse() {
    table.put(replica("a", 1, true));
    table.storeReturned();
    table.remove("a");
    assertEquals(table.all(), List.of());
  }

  @Test
  public void aReplicaThatStartsAgainUnderItsIdReplacesTheOneBefore() {
    table.put(replica("a", 1, false));
    table.put(replica("a", 2, false));
    assertEquals(told, List.of("use a", "leave a", "use a"));
  }

  @Test
  public void aRecordFromBeforeADepartureDoesNotTakeItBack() {
    table.put(replica("a", 1, false));
    table.onDepartureAnnounced("a", 1);
    table.put(replica("a", 1, false));
    assertEquals(told, List.of("use a", "leave a"));
  }

  @Test
  public void aReplicaThatStartsAgainAfterItsDepartureIsUsed() {
    table.put(replica("a", 1, true));
    table.put(replica("a", 2, false));
    assertEquals(told, List.of("leave a", "leave a", "use a"));
  }

  @Test
  public void aReplicaThatTakesOverAnAddressEndsTheOneWhoseEntryHasNotLapsedYet() {
    table.put(at("10.0.0.1", "dead", 1));
    table.put(at("10.0.0.1", "new", 2));
    table.put(at("10.0.0.1", "dead", 1));
    assertEquals(told, List.of("use dead", "leave dead", "use new", "leave dead"));
  }

  @Test
  public void aReadingThatNamesBothUsersOfAnAddressKeepsTheLaterOne() {
    table.replaceAll(List.of(at("10.0.0.1", "new", 2), at("10.0.0.1", "dead", 1)));
    assertEquals(told, List.of("use new", "leave dead"));
  }

  @Test
  public void replicasOfDifferentAddressesLeaveEachOtherAlone() {
    table.put(at("10.0.0.1", "a", 1));
    table.put(at("10.0.0.2", "b", 2));
    assertEquals(told, List.of("use a", "use b"));
  }

  private static Replica at(String host, String id, long bornMillis) {
    return new Replica(id, bornMillis, "service", new HostPort(host, 80), "dc", 4, false);
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
            told.add("use " + replica.id());
          }

          @Override
          public void onDeparture(Replica replica) {
            told.add("leave " + replica.id());
          }
        };
    return new ReplicaTable(GRACE, () -> now.get(), () -> era.get(), listener);
  }

  private static Replica replica(String id, long bornMillis, boolean leaving) {
    return new Replica(id, bornMillis, "service", new HostPort("10.0.0.1", 80), "dc", 4, leaving);
  }
}
