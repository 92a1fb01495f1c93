package org.coltsfootvale.core.membership;

import static org.coltsfootvale.core.membership.MembershipFixture.PEER;
import static org.coltsfootvale.core.membership.MembershipFixture.listed;
import static org.coltsfootvale.core.membership.MembershipFixture.router;
import static org.coltsfootvale.core.membership.MembershipFixture.routerAt;
import static org.coltsfootvale.core.membership.MembershipFixture.routerLiveness;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;

import java.time.Duration;
import java.time.Instant;
import org.coltsfootvale.core.gossip.EntryStore.MergeResult;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class RouterMembershipTest {

  private MembershipFixture fixture = new MembershipFixture();
  private DefaultMembership membership = fixture.membership("self");

  @BeforeMethod
  public void createMembership() {
    fixture = new MembershipFixture();
    membership = fixture.membership("self");
    membership.merge(PEER, router("other", 200, 1, Liveness.LIVE));
  }

  @Test
  public void suspectedRouterThatRefutesStaysLive() {
    membership.onPeerSilent(new RouterId("other"));
    assertEquals(routerLiveness(membership, "other"), Liveness.SUSPECT);

    membership.merge(PEER, router("other", 200, 2, Liveness.LIVE));
    fixture.advanceTicking(Duration.ofSeconds(10), membership);

    assertEquals(routerLiveness(membership, "other"), Liveness.LIVE);
  }

  @Test
  public void suspectedRouterThatDoesNotRefuteIsDead() {
    membership.onPeerSilent(new RouterId("other"));

    fixture.advanceTicking(MembershipOptions.DEFAULT.suspicionTimeout(), membership);

    assertEquals(routerLiveness(membership, "other"), Liveness.DEAD);
  }

  @Test
  public void refutedSuspicionIsNotRaisedAgainAtOnce() {
    RouterId other = new RouterId("other");
    membership.onPeerSilent(other);
    membership.merge(PEER, router("other", 200, 2, Liveness.LIVE));

    membership.onPeerSilent(other);
    assertEquals(routerLiveness(membership, "other"), Liveness.LIVE);
    fixture.advanceTicking(Duration.ofSeconds(2), membership);
    membership.onPeerSilent(other);

    assertEquals(routerLiveness(membership, "other"), Liveness.SUSPECT);
  }

  @Test
  public void routerRefutesItsOwnDeath() {
    RouterEntry death = router("self", 100, 7, Liveness.DEAD);

    membership.merge(PEER, death);

    assertEquals(routerLiveness(membership, "self"), Liveness.LIVE);
    assertEquals(membership.ownEntry().version(), 8);
  }

  @Test
  public void routerReportedLeavingByAPeerLeaves() {
    membership.merge(PEER, router("self", 100, 1, Liveness.LEAVING));

    assertEquals(routerLiveness(membership, "self"), Liveness.LEAVING);
  }

  @Test
  public void leavingRouterStaysLeavingWithinItsIncarnation() {
    membership.merge(PEER, router("other", 200, 2, Liveness.LEAVING));

    membership.merge(PEER, router("other", 200, 1, Liveness.LIVE));
    membership.merge(PEER, router("other", 200, 9, Liveness.LIVE));

    assertEquals(routerLiveness(membership, "other"), Liveness.LEAVING);
    membership.merge(PEER, router("other", 300, 1, Liveness.LIVE));
    assertEquals(routerLiveness(membership, "other"), Liveness.LIVE);
  }

  @Test
  public void entryOfAnOldIncarnationIsStale() {
    membership.merge(PEER, router("other", 300, 1, Liveness.LIVE));

    MergeResult result = membership.merge(PEER, router("other", 200, 99, Liveness.DEAD));

    assertEquals(result, MergeResult.STALE);
    assertEquals(routerLiveness(membership, "other"), Liveness.LIVE);
  }

  @Test
  public void routerAtAReusedAddressReplacesTheOldOne() {
    membership.merge(PEER, routerAt("10.0.2.2", "first", 200, 1, Liveness.LIVE));

    membership.merge(PEER, routerAt("10.0.2.2", "second", 300, 1, Liveness.LIVE));

    assertEquals(routerLiveness(membership, "first"), Liveness.DEAD);
    assertEquals(routerLiveness(membership, "second"), Liveness.LIVE);
  }

  @Test
  public void answerUnderANewIncarnationMarksTheOldOneDead() {
    membership.onPeerAlive(new RouterIncarnation(new RouterId("other"), 300));

    assertEquals(routerLiveness(membership, "other"), Liveness.DEAD);
  }

  @Test
  public void hostListMarksARouterLeavingUnlessItStartedLater() {
    Instant asOf = Instant.ofEpochMilli(250);
    membership.merge(PEER, router("later", 300, 1, Liveness.LIVE));

    membership.onHostList(listed(ListedHost.Kind.ROUTER, "later", true), asOf);
    membership.onHostList(listed(ListedHost.Kind.ROUTER, "other", true), asOf);

    assertEquals(routerLiveness(membership, "later"), Liveness.LIVE);
    assertEquals(routerLiveness(membership, "other"), Liveness.LEAVING);
  }

  @Test
  public void pauseOfTheProcessRestartsSuspicionTimeouts() {
    membership.tick();
    membership.onPeerSilent(new RouterId("other"));

    fixture.clock.advance(Duration.ofMinutes(1));
    membership.tick();

    assertEquals(routerLiveness(membership, "other"), Liveness.SUSPECT);
  }

  @Test
  public void deadRoutersAreRemovedAndTheStateStaysBounded() {
    membership.onPeerSilent(new RouterId("other"));
    fixture.advanceTicking(MembershipOptions.DEFAULT.suspicionTimeout(), membership);
    fixture.clock.advance(MembershipOptions.DEFAULT.deadRetention().plusSeconds(1));
    membership.tick();
    assertFalse(membership.view().routers().containsKey(new RouterId("other")));

    for (int index = 0; index < MembershipOptions.DEFAULT.routersMax() + 10; index++) {
      String host = "10.2." + index / 250 + "." + (index % 250 + 1);
      membership.merge(PEER, routerAt(host, "many" + index, 200, 1, Liveness.LIVE));
    }

    assertEquals(membership.view().routers().size(), MembershipOptions.DEFAULT.routersMax());
  }

  @Test
  public void routersWithTheSameEntriesHaveTheSameDigest() {
    DefaultMembership second = fixture.membership("second");
    second.merge(PEER, router("other", 200, 1, Liveness.LIVE));
    second.merge(PEER, membership.ownEntry());
    assertFalse(second.digest() == membership.digest());

    membership.merge(PEER, second.ownEntry());

    assertEquals(second.digest(), membership.digest());
    assertNotNull(membership.view().routers().get(new RouterId("second")));
    assertEquals(membership.ownEntry().peerAddress(), new HostPort("10.0.0.1", 2));
  }
}
