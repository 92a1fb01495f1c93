package org.coltsfootvale.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.coltsfootvale.protocol.PeerTransportFixture.await;
import static org.coltsfootvale.protocol.PeerTransportFixture.awaitDone;
import static org.coltsfootvale.protocol.PeerTransportFixture.failureOf;
import static org.coltsfootvale.protocol.PeerTransportFixture.get;
import static org.coltsfootvale.protocol.PeerTransportFixture.gossip;
import static org.coltsfootvale.protocol.PeerTransportFixture.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.placement.DispatchCounts;
import org.coltsfootvale.protocol.wire.Demand;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardHead;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.PlacementsRequest;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.RouterUpdate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public final class NettyPeerTransportTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Longer than a test, so that heartbeats do not close a connection. */
  private static final Duration SILENCE_MAX = Duration.ofSeconds(20);

  private final PeerTransportFixture fixture = new PeerTransportFixture();

  @AfterMethod
  public void stopTransports() {
    fixture.stopAll();
  }

  @Test
  public void dispatchCountsReachThePeerAsTheyWereSent() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    NettyPeerTransport two = fixture.start("two", handler);
    DispatchCounts counts =
        new DispatchCounts(
            true, List.of(new DispatchCounts.Count(new EngineId("engine-1"), 3, 4_000)));

    Envelope message =
        Envelope.newBuilder().setDispatchCounts(DispatchCodec.encode(counts)).build();
    assertTrue(one.send(two.boundAddress(), message));

    assertEquals(DispatchCodec.decode(handler.dispatches.poll(20, TimeUnit.SECONDS)), counts);
  }

  @Test
  public void routerUpdatesAndPlacementAndPrefixRequestsUseOneConnection() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    NettyPeerTransport two = fixture.start("two", handler);
    RouterUpdate update = RouterUpdate.newBuilder().addReplicas(1).addInFlight(2).build();
    Envelope placementsRequest =
        Envelope.newBuilder().setPlacementsRequest(PlacementsRequest.getDefaultInstance()).build();
    Envelope prefixRequest =
        Envelope.newBuilder().setPrefixRequest(PrefixRequest.newBuilder().setPrefix("p/")).build();

    RouterUpdate placements =
        get(one.request(two.boundAddress(), placementsRequest, TIMEOUT)).getServingNews();
    PrefixReply prefix =
        get(one.request(two.boundAddress(), prefixRequest, TIMEOUT)).getPrefixReply();
    assertTrue(one.send(two.boundAddress(), Envelope.newBuilder().setServingNews(update).build()));

    assertEquals(placements.getPartsList(), List.of(11L));
    assertEquals(prefix.getEntries(0).getKey(), "p/");
    assertEquals(handler.updates.poll(20, TimeUnit.SECONDS), update);
  }

  @Test
  public void aMessageReachesThePeerWithTheSendersIdentity() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    NettyPeerTransport two = fixture.start("two", handler);

    assertTrue(one.send(two.boundAddress(), gossip(5)));

    assertEquals(handler.gossip.poll(20, TimeUnit.SECONDS).getReleaseRevision(), 5);
    assertEquals(handler.senders.take().toString(), "one@7");
    assertTrue(two.counters().controlBytesReceived() > 0);
    assertEquals(two.counters().forwardBytesReceived(), 0);
  }

  @Test
  public void aRequestGetsItsReplyOrItsTypedError() throws Exception {
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    HostPort two = fixture.start("two", new RecordingPeerHandler()).boundAddress();
    DemandReport report = DemandReport.newBuilder().addDemands(Demand.newBuilder()).build();

    Envelope grant =
        get(one.request(two, Envelope.newBuilder().setDemandReport(report).build(), TIMEOUT));
    ColtsfootvaleException error = failureOf(one.request(two, notesAfter(100), TIMEOUT));

    assertEquals(grant.getShareGrant().getValidForMillis(), 1);
    assertEquals(error.kind(), ErrorKind.NOT_READY);
    assertEquals(error.outcome(), Outcome.NOT_RUN);
  }

  @Test
  public void aForwardedAnswerArrivesCompletelyAndWaitsForCredit() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    RecordingForwardListener listener = new RecordingForwardListener();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    HostPort two = fixture.start("two", handler).boundAddress();

    ForwardStream stream = one.forward(two, request(4), listener);
    ForwardResponder responder = handler.forwards.poll(20, TimeUnit.SECONDS);
    responder.head(ForwardHead.newBuilder().setStatus(200).build());
    awaitDone(responder.body("abc".getBytes(UTF_8)));
    CompletableFuture<Void> blocked = responder.body("defg".getBytes(UTF_8));
    assertTrue(listener.bodyParts.tryAcquire(2, 20, TimeUnit.SECONDS));
    assertFalse(blocked.isDone());
    stream.grant(10);
    awaitDone(blocked);
    responder.end();

    assertEquals(new String(get(listener.completeBody), UTF_8), "abcdefg");
    assertEquals(get(listener.head).getStatus(), 200);
    assertTrue(one.counters().forwardBytesReceived() > 0);
  }

  @Test
  public void aCancelledStreamNotifiesThePeerAndEndsOnce() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    RecordingForwardListener listener = new RecordingForwardListener();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    HostPort two = fixture.start("two", handler).boundAddress();
    ForwardStream stream = one.forward(two, request(4), listener);
    ForwardResponder responder = handler.forwards.poll(20, TimeUnit.SECONDS);
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    responder.onCancel(() -> cancelled.complete(null));

    stream.cancel();
    stream.cancel();

    awaitDone(cancelled);
    responder.end();
    assertEquals(failureOf(listener.completeBody).kind(), ErrorKind.CANCELLED);
    assertEquals(failureOf(listener.completeBody).outcome(), Outcome.UNKNOWN);
  }

  @Test
  public void anErrorOfThePeerKeepsItsOutcome() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    RecordingForwardListener listener = new RecordingForwardListener();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    HostPort two = fixture.start("two", handler).boundAddress();

    one.forward(two, request(4), listener);
    handler
        .forwards
        .poll(20, TimeUnit.SECONDS)
        .fail(ColtsfootvaleException.notRun(ErrorKind.KEY_EXPIRED, "old", Duration.ofMillis(9)));

    ColtsfootvaleException error = failureOf(listener.completeBody);
    assertEquals(error.kind(), ErrorKind.KEY_EXPIRED);
    assertEquals(error.outcome(), Outcome.NOT_RUN);
    assertEquals(error.retryAfter().orElseThrow(), Duration.ofMillis(9));
  }

  @Test
  public void moreStreamsThanAllowedAreRefusedAsNotRun() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    RecordingForwardListener third = new RecordingForwardListener();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    HostPort two = fixture.start("two", handler).boundAddress();

    one.forward(two, request(4), new RecordingForwardListener());
    one.forward(two, request(4), new RecordingForwardListener());
    one.forward(two, request(4), third);

    assertEquals(failureOf(third.completeBody).outcome(), Outcome.NOT_RUN);
    assertEquals(handler.forwards.size(), 2);
  }

  @Test
  public void aLostConnectionLeavesTheOutcomeUnknownAndCancelsThePeer() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    RecordingForwardListener listener = new RecordingForwardListener();
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    NettyPeerTransport two = fixture.start("two", handler);
    one.forward(two.boundAddress(), request(4), listener);
    ForwardResponder responder = handler.forwards.poll(20, TimeUnit.SECONDS);
    CompletableFuture<Void> cancelled = new CompletableFuture<>();
    responder.onCancel(() -> cancelled.complete(null));

    two.stop();

    ColtsfootvaleException error = failureOf(listener.completeBody);
    assertEquals(error.kind(), ErrorKind.HOME_LOST);
    assertEquals(error.outcome(), Outcome.UNKNOWN);
    awaitDone(cancelled);
  }

  @Test
  public void anUnreachablePeerMeansNotRunAndDropsOneWayMessages() throws Exception {
    NettyPeerTransport one = fixture.start("one", new RecordingPeerHandler());
    NettyPeerTransport gone = fixture.start("gone", new RecordingPeerHandler());
    HostPort address = gone.boundAddress();
    gone.stop();
    RecordingForwardListener listener = new RecordingForwardListener();

    one.forward(address, request(4), listener);
    boolean unused = one.send(address, gossip(1));

    assertEquals(failureOf(listener.completeBody).outcome(), Outcome.NOT_RUN);
    await(() -> one.counters().messagesDropped() == 1);
    assertEquals(
        failureOf(one.request(address, notesAfter(1), TIMEOUT)).outcome(), Outcome.NOT_RUN);
  }

  @Test
  public void aWrongSecretIsRejectedOnBothSides() throws Exception {
    RecordingPeerHandler handler = new RecordingPeerHandler();
    NettyPeerTransport one =
        fixture.start("one", new RecordingPeerHandler(), "some other secret text");
    NettyPeerTransport two = fixture.start("two", handler);

    ColtsfootvaleException error =
        failureOf(one.request(two.boundAddress(), notesAfter(1), TIMEOUT));

    assertEquals(error.outcome(), Outcome.NOT_RUN);
    await(() -> two.counters().connectionsRefused() == 1);
    assertEquals(one.counters().connectionsRefused(), 1);
    assertTrue(handler.alive.isEmpty());
  }

  @Test
  public void thePreviousSecretIsStillAcceptedDuringRotation() throws Exception {
    String next = "the secret that comes next";
    NettyPeerTransport old = fixture.start("old", new RecordingPeerHandler());
    HostPort changed =
        fixture
            .start("new", new RecordingPeerHandler(), next, PeerTransportFixture.SECRET)
            .boundAddress();

    Envelope reply = get(old.request(changed, notesAfter(3), TIMEOUT));

    assertEquals(reply.getNotesReply().getNewestRevision(), 3);
  }

  private static Envelope notesAfter(long revision) {
    return Envelope.newBuilder()
        .setNotesRequest(NotesRequest.newBuilder().setAfterRevision(revision))
        .build();
  }

  /** Guards against a buffer that grows without bound, as in a router whose peer is frozen. */
  @Test
  public void oneWayMessagesToAPeerThatDoesNotReadAreDropped() throws Exception {
    RecordingPeerHandler receiver = new RecordingPeerHandler();
    NettyPeerTransport target = fixture.start("two", receiver, SILENCE_MAX);
    NettyPeerTransport sender = fixture.start("one", new RecordingPeerHandler(), SILENCE_MAX);
    Envelope large =
        Envelope.newBuilder()
            .setPrefixRequest(PrefixRequest.newBuilder().setPrefix("p".repeat(99_000)))
            .build();
    try (BlackholeProxy proxy = new BlackholeProxy(target.boundAddress())) {
      assertTrue(sender.send(proxy.address(), gossip(1)));
      await(() -> !receiver.gossip.isEmpty());
      proxy.stopReading();
      long deadline = System.nanoTime() + SILENCE_MAX.dividedBy(2).toNanos();
      while (System.nanoTime() < deadline && sender.counters().messagesDropped() == 0) {
        sender.send(proxy.address(), large);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
      }
      assertTrue(sender.counters().messagesDropped() > 0, "no message was dropped");
    }
  }
}
