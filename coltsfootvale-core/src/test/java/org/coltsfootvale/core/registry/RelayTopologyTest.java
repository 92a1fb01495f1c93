package org.coltsfootvale.core.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.store.StoreEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fleets of several sizes in which each router selects its relay and its store readers by itself.
 */
@Test(singleThreaded = true)
public class RelayTopologyTest {

  private static final int DATA_CENTRES = 5;

  /** The largest number of update messages a router may send in a second. */
  private static final double MESSAGES_PER_SECOND_MAX = 250;

  private AtomicLong now = new AtomicLong();

  @BeforeMethod
  void reset() {
    now = new AtomicLong();
  }

  @DataProvider
  Object[][] fleets() {
    return new Object[][] {{13}, {23}, {95}, {320}};
  }

  @Test
  public void routersOfASmallFleetFormAFullMesh() {
    assertTrue(new Member(fleet(RelayTopology.FULL_MESH_MAX), 0).topology.fullMesh());
    assertFalse(new Member(fleet(RelayTopology.FULL_MESH_MAX + 1), 0).topology.fullMesh());
  }

  @Test(dataProvider = "fleets")
  public void allRoutersOfADataCentreSelectTheSameRelay(int size) {
    List<RouterAdvertisement> fleet = fleet(size);
    Set<String> relays = new HashSet<>();
    int relaying = 0;
    for (int i = 0; i < size; i++) {
      Member member = new Member(fleet, i);
      relays.add(member.relayId());
      relaying += member.topology.relay().isEmpty() ? 1 : 0;
    }
    assertEquals(relays.size(), DATA_CENTRES);
    assertEquals(relaying, DATA_CENTRES);
  }

  @Test(dataProvider = "fleets")
  public void theMessageRateOfAFleetGrowsLinearlyWithItsSize(int size) {
    List<RouterAdvertisement> fleet = fleet(size);
    double total = 0;
    for (int i = 0; i < size; i++) {
      Member member = new Member(fleet, i);
      int groupSize = member.topology.exchangeGroupSize();
      double receivers = 1;
      if (member.topology.relay().isEmpty()) {
        receivers = groupSize - 1 + member.topology.remoteRelays().size();
      }
      double perSecond = receivers * 1_000.0 / UpdateTimings.interval(groupSize).toMillis();
      assertTrue(perSecond <= MESSAGES_PER_SECOND_MAX, perSecond + " messages a second");
      total += perSecond;
    }
    // Each router sends and receives one message a round; each relay also sends one to every other
    // relay.
    double messagesPerRound = 2.0 * size + DATA_CENTRES * (DATA_CENTRES - 1);
    assertTrue(
        total <= messagesPerRound * 1_000 / UpdateTimings.interval(1).toMillis(),
        total + " in all");
  }

  @Test
  public void theRelayIsARouterWithTheMostCapacity() {
    List<RouterAdvertisement> fleet = fleet(95);
    for (int i = 0; i < fleet.size(); i++) {
      String relay = new Member(fleet, i).relayId();
      double cores =
          fleet.stream()
              .filter(router -> router.id().equals(relay))
              .findFirst()
              .orElseThrow()
              .capacityCores();
      assertEquals(cores, 1.5);
    }
  }

  /** Half of the routers still have the view in which all send to all. */
  @Test
  public void eachRouterReliesOnAtMostOneOtherWhileTheViewsOfAFleetDiffer() {
    for (int size = RelayTopology.FULL_MESH_MAX + 1; size <= 14; size++) {
      List<RouterAdvertisement> fleet = fleet(size);
      List<Member> members = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        members.add(i % 2 == 0 ? smallView(fleet, i) : new Member(fleet, i));
      }
      for (Member sender : members) {
        long reliesOn = members.stream().filter(other -> other.serves(sender)).count();
        assertTrue(reliesOn <= 1, reliesOn + " routers serve " + sender.self.id());
        boolean reportsToRelay = !sender.topology.fullMesh() && sender.topology.relay().isPresent();
        assertTrue(!reportsToRelay || reliesOn == 1, sender.self.id() + " is not served");
      }
    }
  }

  @Test
  public void anUnresponsiveRelayIsSkippedForAWhile() {
    Member member = memberWithRelay();
    RouterAdvertisement relay = member.topology.relay().orElseThrow();
    member.topology.onUpdateSent(relay);
    advance(RelayTopology.RESPONSE_TIMEOUT.plusMillis(1));
    member.topology.onUpdateSent(relay);
    assertFalse(member.relayId().equals(relay.id()));
    advance(RelayTopology.SKIP_TIME.plusMillis(1));
    assertEquals(member.relayId(), relay.id());
  }

  @Test
  public void aRelayThatRespondsIsKept() {
    Member member = memberWithRelay();
    RouterAdvertisement relay = member.topology.relay().orElseThrow();
    for (int i = 0; i < 50; i++) {
      member.topology.onUpdateSent(relay);
      advance(Duration.ofMillis(100));
      member.topology.onUpdateReceived(relay.id());
    }
    assertEquals(member.topology.relay(), Optional.of(relay));
  }

  @Test
  public void aRouterBecomesRelayWhenAllOthersAreUnresponsive() {
    Member member = memberWithRelay();
    for (int i = 0; i < 40 && member.topology.relay().isPresent(); i++) {
      RouterAdvertisement relay = member.topology.relay().orElseThrow();
      member.topology.onUpdateSent(relay);
      advance(RelayTopology.RESPONSE_TIMEOUT.plusMillis(1));
      member.topology.onUpdateSent(relay);
      now.addAndGet(-RelayTopology.RESPONSE_TIMEOUT.plusMillis(1).toNanos());
    }
    assertTrue(member.topology.relay().isEmpty());
  }

  @Test
  public void aRouterWithAnUpToDateRelayDoesNotReadTheStore() {
    Member member = memberWithRelay();
    StoreReaderRole role = new StoreReaderRole(member.topology, now::get);
    assertTrue(role.readsStore(false), "no up-to-date relay is known");
    role.onCurrentRelay();
    assertFalse(role.readsStore(true));
  }

  @Test
  public void aRouterWithoutUpdatesFromPeersReadsTheStore() {
    Member member = memberWithRelay();
    StoreReaderRole role = new StoreReaderRole(member.topology, now::get);
    role.onCurrentRelay();
    advance(StoreReaderRole.RELAY_TIMEOUT.plusMillis(1));
    assertTrue(role.readsStore(false));
  }

  @Test
  public void furtherReadersStartByRankWhenNoRelayIsUpToDate() {
    List<RouterAdvertisement> fleet = fleet(95);
    List<StoreReaderRole> roles = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      StoreReaderRole role = new StoreReaderRole(new Member(fleet, i).topology, now::get);
      role.onCurrentRelay();
      roles.add(role);
    }
    assertEquals(reading(roles), DATA_CENTRES);
    advance(StoreReaderRole.RELAY_TIMEOUT.plusMillis(1));
    assertEquals(reading(roles), DATA_CENTRES);
    advance(StoreReaderRole.RANK_DELAY);
    assertEquals(reading(roles), 2 * DATA_CENTRES);
    advance(StoreReaderRole.RANK_DELAY);
    assertEquals(reading(roles), 3 * DATA_CENTRES);
  }

  @Test
  public void threeRoutersReadInAFleetOfOneDataCentre() {
    List<RouterAdvertisement> fleet = new ArrayList<>();
    for (RouterAdvertisement router : fleet(30)) {
      fleet.add(
          new RouterAdvertisement(
              router.id(), "dc", router.callerAddress(), router.peerAddress(), 1));
    }
    List<StoreReaderRole> roles = new ArrayList<>();
    for (int i = 0; i < fleet.size(); i++) {
      StoreReaderRole role = new StoreReaderRole(new Member(fleet, i).topology, now::get);
      role.onCurrentRelay();
      roles.add(role);
    }
    assertEquals(reading(roles), StoreReaderRole.READERS_MIN);
  }

  @Test
  public void aRelayAndARouterOfASmallFleetReadTheStore() {
    Member small = new Member(fleet(6), 0);
    StoreReaderRole role = new StoreReaderRole(small.topology, now::get);
    role.onCurrentRelay();
    assertTrue(role.readsStore(true));
  }

  private static long reading(List<StoreReaderRole> roles) {
    return roles.stream().filter(role -> role.readsStore(true)).count();
  }

  private Member memberWithRelay() {
    List<RouterAdvertisement> fleet = fleet(95);
    for (int i = 0; i < fleet.size(); i++) {
      Member member = new Member(fleet, i);
      if (member.topology.relay().isPresent()) {
        return member;
      }
    }
    throw new AssertionError("every router is a relay");
  }

  private void advance(Duration time) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(time.toMillis()));
  }

  /** Returns a router that knows only as many routers as send to all. */
  private Member smallView(List<RouterAdvertisement> fleet, int index) {
    List<RouterAdvertisement> known = new ArrayList<>(fleet);
    RouterAdvertisement self = known.remove(index);
    known = new ArrayList<>(known.subList(0, RelayTopology.FULL_MESH_MAX - 1));
    known.add(self);
    return new Member(known, known.size() - 1);
  }

  private static List<RouterAdvertisement> fleet(int size) {
    List<RouterAdvertisement> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      boolean large = i < 3 * DATA_CENTRES;
      fleet.add(
          new RouterAdvertisement(
              "router-" + i,
              "dc-" + i % DATA_CENTRES,
              new HostPort("10.0.0.1", 1_000 + i),
              new HostPort("10.0.0.1", 2_000 + i),
              large ? 1.5 : 0.36));
    }
    return fleet;
  }

  /** One router's view of the fleet. */
  private final class Member {

    private final RouterAdvertisement self;
    private final RelayTopology topology;

    Member(List<RouterAdvertisement> fleet, int index) {
      self = fleet.get(index);
      RouterRegistry registry = new RouterRegistry(self, Duration.ofSeconds(2), now::get);
      List<StoreEntry> entries = new ArrayList<>();
      for (RouterAdvertisement router : fleet) {
        String key = RouterRegistry.PREFIX + router.id();
        entries.add(new StoreEntry(key, Optional.of(router.encode()), 1));
      }
      registry.onFullRead(entries);
      topology = new RelayTopology(registry, now::get);
    }

    /** Returns whether this router sends another one the updates of others. */
    boolean serves(Member sender) {
      boolean receivesUpdates = sender.topology.fullMesh() || sender.relayId().equals(self.id());
      return !sender.self.equals(self)
          && receivesUpdates
          && topology.reliesOnThisRouter(sender.self.id(), sender.topology.fullMesh());
    }

    String relayId() {
      return topology.relay().map(RouterAdvertisement::id).orElse(self.id());
    }
  }
}
