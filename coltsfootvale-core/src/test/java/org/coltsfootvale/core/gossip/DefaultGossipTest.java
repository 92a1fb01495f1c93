package org.coltsfootvale.core.gossip;

import static org.coltsfootvale.core.membership.MembershipFixture.ENGINE;
import static org.coltsfootvale.core.membership.MembershipFixture.PEER;
import static org.coltsfootvale.core.membership.MembershipFixture.engine;
import static org.coltsfootvale.core.membership.MembershipFixture.router;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.gossip.Gossip.AddressedMessage;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.membership.DefaultMembership;
import org.coltsfootvale.core.membership.MembershipFixture;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class DefaultGossipTest {

  private static final int HEADER_BYTES = 20;
  private static final int ENTRY_BYTES = 100;
  private static final RouterId OTHER = new RouterId("other");
  private static final HostPort SEED_ADDRESS = new HostPort("10.9.9.9", 9);

  private MembershipFixture fixture = new MembershipFixture();
  private DefaultMembership membership = fixture.membership("self");
  private DefaultGossip gossip = gossip(GossipOptions.DEFAULT);

  @BeforeMethod
  public void createGossip() {
    fixture = new MembershipFixture();
    membership = fixture.membership("self");
    gossip = gossip(GossipOptions.DEFAULT);
  }

  @Test
  public void routerWithoutPeersSendsItsOwnEntryToASeed() {
    List<Gossip.SeedMessage> messages = gossip.dueSeedMessages();

    assertEquals(messages.size(), 1);
    assertEquals(messages.get(0).to(), SEED_ADDRESS);
    assertEquals(messages.get(0).message().entries(), List.of(membership.ownEntry()));
    assertTrue(gossip.dueSeedMessages().isEmpty());
  }

  @Test
  public void firstMessageToANewPeerCarriesTheOwnEntry() {
    receiveOther();

    List<AddressedMessage> sent = gossip.dueMessages();

    assertEquals(sent.size(), 1);
    assertEquals(sent.get(0).to(), OTHER);
    assertTrue(sent.get(0).message().entries().contains(membership.ownEntry()));
  }

  @Test
  public void equalPeersSendOnlyKeepAliveMessages() {
    receiveOther();
    advanceAndCollect(Duration.ofSeconds(3));
    long before = gossip.counters().messagesSent();

    advanceAndCollect(Duration.ofSeconds(2));

    assertTrue(gossip.counters().messagesSent() - before <= 3);
  }

  @Test
  public void entryIsNotSentBackToThePeerThatSentIt() {
    receiveOther();
    advanceAndCollect(Duration.ofSeconds(1));

    gossip.onMessage(OTHER, message(List.of(engine(5, 9, Liveness.LIVE))));

    assertFalse(
        advanceAndCollect(Duration.ofSeconds(2)).stream()
            .flatMap(sent -> sent.message().entries().stream())
            .anyMatch(EngineEntry.class::isInstance));
  }

  @Test
  public void leavingFlagIsForwardedAtOnce() {
    receiveOther();
    receiveRouter("third");
    advanceAndCollect(Duration.ofSeconds(2));

    List<AddressedMessage> sent =
        gossip.onMessage(OTHER, message(List.of(engine(5, 9, Liveness.LEAVING))));

    assertEquals(sent.stream().map(AddressedMessage::to).toList(), List.of(new RouterId("third")));
  }

  @Test
  public void newRevisionIsSentAtOnce() {
    receiveOther();
    advanceAndCollect(Duration.ofSeconds(2));
    membership.onAppliedRevision(7);

    List<AddressedMessage> sent = gossip.dueMessages();

    assertEquals(sent.get(0).message().releaseRevision(), 7);
  }

  @Test
  public void suspectedPeerReceivesTheSuspicionWhenItReturns() {
    receiveOther();
    advanceAndCollect(GossipOptions.DEFAULT.peerTimeout().plusMillis(200));
    assertEquals(liveness(OTHER), Liveness.SUSPECT);

    List<AddressedMessage> replies = gossip.onMessage(OTHER, message(List.of()));

    assertTrue(
        replies.get(0).message().entries().stream()
            .filter(RouterEntry.class::isInstance)
            .map(RouterEntry.class::cast)
            .anyMatch(
                entry ->
                    entry.router().id().equals(OTHER) && entry.liveness() == Liveness.SUSPECT));
  }

  @Test
  public void pausedRouterDoesNotSuspectItsPeers() {
    receiveOther();
    advanceAndCollect(Duration.ofSeconds(1));

    fixture.clock.advance(Duration.ofMinutes(5));
    gossip.dueMessages();

    assertEquals(liveness(OTHER), Liveness.LIVE);
  }

  @Test
  public void loadWaitsForBudgetAndLeavingFlagsDoNot() {
    GossipOptions small = budget(50, 400);
    gossip = gossip(small);
    receiveOther();
    advanceAndCollect(Duration.ofSeconds(4));
    membership.onEngineReport(ENGINE, 5, false, fixture.load(1));
    long before = gossip.counters().bytesSent();

    List<AddressedMessage> withLoad = advanceAndCollect(Duration.ofMillis(900));
    membership.onEngineLeaving(ENGINE);
    List<AddressedMessage> withFlag = gossip.dueMessages();

    assertFalse(carriesEngine(withLoad));
    assertTrue(gossip.counters().entriesHeldBack() > 0);
    assertTrue(carriesEngine(withFlag));
    assertTrue(gossip.counters().bytesSent() > before);
  }

  @Test
  public void trafficStaysWithinTheBudget() {
    gossip = gossip(budget(1_000, 2_000));
    receiveOther();
    for (int round = 0; round < 600; round++) {
      membership.onEngineReport(ENGINE, 5, false, fixture.load(round * 50));
      membership.onOwnLoad(round % 2 * 200);
      fixture.clock.advance(Duration.ofMillis(100));
      gossip.dueMessages();
    }

    long spent = gossip.counters().bytesSent() + gossip.counters().bytesReceived();
    assertTrue(spent <= 60 * 1_000 + 2_000, "spent " + spent);
  }

  @Test
  public void leavingEntriesPrecedeOthers() {
    membership.onEngineReport(ENGINE, 5, false, fixture.load(1));
    membership.merge(PEER, router("gone", 200, 3, Liveness.LEAVING));

    List<GossipEntry> entries = sentTo(OTHER, receiveOther());

    int leaving = indexOf(entries, "gone");
    assertTrue(leaving >= 0 && leaving < entries.size() - 1, entries.toString());
    assertTrue(leaving <= 1, "only the router's own entry may precede it");
  }

  private DefaultGossip gossip(GossipOptions options) {
    return new DefaultGossip(
        new RouterIncarnation(new RouterId("self"), 100),
        membership,
        options,
        new FixedSizes(),
        new MeshPeerSelector(dataCentre -> "region"),
        () -> List.of(SEED_ADDRESS),
        fixture.clock,
        RandomSource.XO_RO_SHI_RO_128_PP.create(1));
  }

  private static GossipOptions budget(int bytesPerSecond, int burstBytes) {
    GossipOptions defaults = GossipOptions.DEFAULT;
    return new GossipOptions(
        bytesPerSecond,
        burstBytes,
        burstBytes / 2,
        defaults.entriesPerMessageMax(),
        defaults.interval(),
        defaults.keepAlive(),
        defaults.peerTimeout(),
        defaults.probeInterval(),
        defaults.syncInterval());
  }

  private static List<GossipEntry> sentTo(RouterId to, List<AddressedMessage> messages) {
    return messages.stream()
        .filter(sent -> sent.to().equals(to))
        .flatMap(sent -> sent.message().entries().stream())
        .toList();
  }

  private List<AddressedMessage> receiveOther() {
    return receiveRouter("other");
  }

  private List<AddressedMessage> receiveRouter(String name) {
    return gossip.onMessage(
        new RouterId(name), message(List.of(router(name, 200, 1, Liveness.LIVE))));
  }

  private GossipMessage message(List<GossipEntry> entries) {
    return new GossipMessage(false, membership.appliedRevision(), membership.digest(), entries);
  }

  private List<AddressedMessage> advanceAndCollect(Duration duration) {
    List<AddressedMessage> sent = new java.util.ArrayList<>();
    for (long elapsedMillis = 0; elapsedMillis < duration.toMillis(); elapsedMillis += 100) {
      fixture.clock.advance(Duration.ofMillis(100));
      sent.addAll(gossip.dueMessages());
    }
    return sent;
  }

  private Liveness liveness(RouterId id) {
    return membership.router(id).orElseThrow().liveness();
  }

  private static boolean carriesEngine(List<AddressedMessage> messages) {
    return messages.stream()
        .flatMap(sent -> sent.message().entries().stream())
        .anyMatch(
            entry -> entry instanceof EngineEntry || entry instanceof GossipEntry.EngineLoadEntry);
  }

  private static int indexOf(List<GossipEntry> entries, String router) {
    for (int index = 0; index < entries.size(); index++) {
      if (entries.get(index) instanceof RouterEntry entry
          && entry.router().id().value().equals(router)) {
        return index;
      }
    }
    return -1;
  }

  private static final class FixedSizes implements GossipSizes {

    @Override
    public int ofMessage(GossipMessage message) {
      return HEADER_BYTES + ENTRY_BYTES * message.entries().size();
    }

    @Override
    public int ofEntry(GossipEntry entry) {
      return ENTRY_BYTES;
    }
  }
}
