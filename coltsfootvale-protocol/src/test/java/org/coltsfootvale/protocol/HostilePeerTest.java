package org.coltsfootvale.protocol;

import static org.coltsfootvale.protocol.PeerTransportFixture.await;
import static org.coltsfootvale.protocol.PeerTransportFixture.failureOf;
import static org.coltsfootvale.protocol.PeerTransportFixture.gossip;
import static org.coltsfootvale.protocol.PeerTransportFixture.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.coltsfootvale.protocol.wire.Pong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class HostilePeerTest {

  private static final long SEED = 20261204;

  private final PeerTransportFixture fixture = new PeerTransportFixture();
  private RecordingPeerHandler handler = new RecordingPeerHandler();
  private NettyPeerTransport target = fixture.start("unused", handler);

  @BeforeMethod
  public void startTarget() {
    fixture.stopAll();
    handler = new RecordingPeerHandler();
    target = fixture.start("target", handler);
  }

  @AfterMethod
  public void otherPeersAreStillServed() throws Exception {
    NettyPeerTransport other = fixture.start("other", new RecordingPeerHandler());
    assertTrue(other.send(target.boundAddress(), gossip(1)));
    assertEquals(handler.gossip.poll(20, TimeUnit.SECONDS).getReleaseRevision(), 1);
    fixture.stopAll();
  }

  @Test
  public void garbageBytesAreCountedAndCloseTheConnection() throws Exception {
    byte[] randomBytes = new byte[4096];
    RandomSource.XO_RO_SHI_RO_128_PP.create(SEED).nextBytes(randomBytes);
    randomBytes[0] = (byte) 0x7f;

    try (Socket socket = connect()) {
      socket.getOutputStream().write(randomBytes);
      awaitClosed(socket);
    }

    await(() -> target.counters().framesInvalid() == 1);
    assertEquals(target.counters().connectionsRefused(), 1);
  }

  @Test
  public void aFrameOfTheRightLengthWithoutAMessageIsInvalid() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
      awaitClosed(socket);
    }

    await(() -> target.counters().framesInvalid() == 1);
  }

  @Test
  public void aFrameTruncatedByTheEndOfTheConnectionIsInvalid() throws Exception {
    try (Socket socket = connect()) {
      HandshakeClient client = new HandshakeClient(socket);
      client.authenticate();
      byte[] frame = gossip(9).toByteArray();
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(frame.length);
      out.write(frame, 0, frame.length - 1);
      out.flush();
    }

    await(() -> target.counters().framesInvalid() == 1);
    assertTrue(handler.gossip.isEmpty());
  }

  @Test
  public void anOversizedFrameIsRejectedBeforeItIsRead() throws Exception {
    try (Socket socket = connect()) {
      HandshakeClient client = new HandshakeClient(socket);
      client.authenticate();
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(PeerTransportFixture.options().frameBytesMax() + 1);
      out.flush();
      awaitClosed(socket);
    }

    await(() -> target.counters().framesInvalid() == 1);
  }

  @Test
  public void anUnknownMessageClosesTheConnection() throws Exception {
    byte[] unknownField = {(byte) 0xf2, 0x07, 0x00};

    try (Socket socket = connect()) {
      HandshakeClient client = new HandshakeClient(socket);
      client.authenticate();
      writeFrame(socket, unknownField);
      awaitClosed(socket);
    }

    await(() -> target.counters().framesInvalid() == 1);
  }

  @Test
  public void aServerOnlyMessageFromAClientClosesTheConnection() throws Exception {
    try (Socket socket = connect()) {
      HandshakeClient client = new HandshakeClient(socket);
      client.authenticate();
      Envelope pong = Envelope.newBuilder().setPong(Pong.getDefaultInstance()).build();
      writeFrame(socket, pong.toByteArray());
      awaitClosed(socket);
    }

    await(() -> target.counters().framesInvalid() == 1);
  }

  @Test
  public void aMessageBeforeAuthenticationIsNotHandled() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, gossip(9).toByteArray());
      awaitClosed(socket);
    }

    await(() -> target.counters().connectionsRefused() == 1);
    assertTrue(handler.gossip.isEmpty());
  }

  @Test
  public void aReplayedProofIsRejected() throws Exception {
    HandshakeClient first;
    try (Socket socket = connect()) {
      first = new HandshakeClient(socket);
      first.authenticate();
    }

    try (Socket socket = connect()) {
      writeFrame(socket, HandshakeMessages.envelope(first.own).toByteArray());
      Envelope unused = readFrame(socket);
      writeFrame(socket, first.proof.toByteArray());
      awaitClosed(socket);
    }

    await(() -> target.counters().connectionsRefused() == 1);
  }

  @Test
  public void anUnresponsiveConnectionFailsItsStreamsAndIsReplaced() throws Exception {
    try (BlackholeProxy proxy = new BlackholeProxy(target.boundAddress())) {
      NettyPeerTransport caller = fixture.start("caller", new RecordingPeerHandler());
      RecordingForwardListener unresponsive = new RecordingForwardListener();
      caller.forward(proxy.address(), request(4), unresponsive);
      handler.forwards.poll(20, TimeUnit.SECONDS);

      proxy.blackholeOpenConnections();
      ColtsfootvaleException error = failureOf(unresponsive.completeBody);
      RecordingForwardListener next = new RecordingForwardListener();
      caller.forward(proxy.address(), request(4), next);
      handler.forwards.poll(20, TimeUnit.SECONDS).end();

      assertEquals(error.outcome(), Outcome.UNKNOWN);
      assertEquals(error.kind(), ErrorKind.HOME_LOST);
      assertEquals(caller.counters().connectionsSilent(), 1);
      assertEquals(PeerTransportFixture.get(next.completeBody).length, 0);
    }
  }

  private Socket connect() throws IOException {
    HostPort address = target.boundAddress();
    return new Socket(address.host(), address.port());
  }

  private static void writeFrame(Socket socket, byte[] frame) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  private static Envelope readFrame(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    return Envelope.parseFrom(frame);
  }

  private static void awaitClosed(Socket socket) {
    try {
      var unused = socket.getInputStream().readAllBytes();
    } catch (IOException expected) {
      // A reset also closes the connection.
    }
  }

  /** The client side of the handshake on a plain socket. */
  private static final class HandshakeClient {

    private final Socket socket;
    private final Hello own =
        HandshakeMessages.hello(new RouterIncarnation(new RouterId("hostile"), 1));
    private Envelope proof = Envelope.getDefaultInstance();

    private HandshakeClient(Socket socket) {
      this.socket = socket;
    }

    private void authenticate() throws IOException {
      HandshakeProofs proofs = new HandshakeProofs(List.of(PeerTransportFixture.SECRET));
      writeFrame(socket, HandshakeMessages.envelope(own).toByteArray());
      Hello server = readFrame(socket).getHello();
      proof = HandshakeMessages.proof(proofs.clientProof(own, server));
      writeFrame(socket, proof.toByteArray());
      assertTrue(readFrame(socket).hasHelloProof());
    }
  }
}
