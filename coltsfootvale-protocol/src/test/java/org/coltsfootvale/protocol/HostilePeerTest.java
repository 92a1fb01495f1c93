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
  private NettyPeerTransport victim = fixture.start("unused", handler);

  @BeforeMethod
  public void startVictim() {
    fixture.stopAll();
    handler = new RecordingPeerHandler();
    victim = fixture.start("victim", handler);
  }

  @AfterMethod
  public void othersAreStillServed() throws Exception {
    NettyPeerTransport other = fixture.start("other", new RecordingPeerHandler());
    assertTrue(other.send(victim.boundAddress(), gossip(1)));
    assertEquals(handler.gossip.poll(20, TimeUnit.SECONDS).getReleaseRevision(), 1);
    fixture.stopAll();
  }

  @Test
  public void garbageBytesAreCountedAndEndTheConnection() throws Exception {
    byte[] garbage = new byte[4096];
    RandomSource.XO_RO_SHI_RO_128_PP.create(SEED).nextBytes(garbage);
    garbage[0] = (byte) 0x7f;

    try (Socket socket = connect()) {
      socket.getOutputStream().write(garbage);
      awaitClosed(socket);
    }

    await(() -> victim.counters().framesInvalid() == 1);
    assertEquals(victim.counters().connectionsRefused(), 1);
  }

  @Test
  public void aFrameOfTheRightLengthWithoutAMessageIsInvalid() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
      awaitClosed(socket);
    }

    await(() -> victim.counters().framesInvalid() == 1);
  }

  @Test
  public void aFrameThatEndsWithTheConnectionIsInvalid() throws Exception {
    try (Socket socket = connect()) {
      Session session = new Session(socket);
      session.authenticate();
      byte[] frame = gossip(9).toByteArray();
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(frame.length);
      out.write(frame, 0, frame.length - 1);
      out.flush();
    }

    await(() -> victim.counters().framesInvalid() == 1);
    assertTrue(handler.gossip.isEmpty());
  }

  @Test
  public void anOversizeFrameIsRefusedBeforeItIsRead() throws Exception {
    try (Socket socket = connect()) {
      Session session = new Session(socket);
      session.authenticate();
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(PeerTransportFixture.options().frameBytesMax() + 1);
      out.flush();
      awaitClosed(socket);
    }

    await(() -> victim.counters().framesInvalid() == 1);
  }

  @Test
  public void anUnknownMessageEndsTheConnection() throws Exception {
    byte[] fieldThatNoVersionKnows = {(byte) 0xf2, 0x07, 0x00};

    try (Socket socket = connect()) {
      Session session = new Session(socket);
      session.authenticate();
      writeFrame(socket, fieldThatNoVersionKnows);
      awaitClosed(socket);
    }

    await(() -> victim.counters().framesInvalid() == 1);
  }

  @Test
  public void aMessageThatOnlyAServerSendsEndsTheConnection() throws Exception {
    try (Socket socket = connect()) {
      Session session = new Session(socket);
      session.authenticate();
      Envelope pong = Envelope.newBuilder().setPong(Pong.getDefaultInstance()).build();
      writeFrame(socket, pong.toByteArray());
      awaitClosed(socket);
    }

    await(() -> victim.counters().framesInvalid() == 1);
  }

  @Test
  public void aMessageBeforeTheProofIsNeverServed() throws Exception {
    try (Socket socket = connect()) {
      writeFrame(socket, gossip(9).toByteArray());
      awaitClosed(socket);
    }

    await(() -> victim.counters().connectionsRefused() == 1);
    assertTrue(handler.gossip.isEmpty());
  }

  @Test
  public void aReplayedProofIsRefused() throws Exception {
    Session first;
    try (Socket socket = connect()) {
      first = new Session(socket);
      first.authenticate();
    }

    try (Socket socket = connect()) {
      writeFrame(socket, Handshakes.envelope(first.own).toByteArray());
      Envelope unused = readFrame(socket);
      writeFrame(socket, first.proof.toByteArray());
      awaitClosed(socket);
    }

    await(() -> victim.counters().connectionsRefused() == 1);
  }

  @Test
  public void aConnectionThatGoesSilentFailsItsStreamsAndNewOnesWork() throws Exception {
    try (SilencingRelay relay = new SilencingRelay(victim.boundAddress())) {
      NettyPeerTransport caller = fixture.start("caller", new RecordingPeerHandler());
      RecordingForwardListener stuck = new RecordingForwardListener();
      caller.forward(relay.address(), request(4), stuck);
      handler.forwards.poll(20, TimeUnit.SECONDS);

      relay.silenceOpenConnections();
      ColtsfootvaleException error = failureOf(stuck.whole);
      RecordingForwardListener next = new RecordingForwardListener();
      caller.forward(relay.address(), request(4), next);
      handler.forwards.poll(20, TimeUnit.SECONDS).end();

      assertEquals(error.outcome(), Outcome.UNKNOWN);
      assertEquals(error.kind(), ErrorKind.HOME_LOST);
      assertEquals(caller.counters().connectionsSilent(), 1);
      assertEquals(PeerTransportFixture.get(next.whole).length, 0);
    }
  }

  private Socket connect() throws IOException {
    HostPort address = victim.boundAddress();
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
      // A reset ends the connection as well.
    }
  }

  /** A client's side of the handshake, written by hand. */
  private static final class Session {

    private final Socket socket;
    private final Hello own = Handshakes.hello(new RouterIncarnation(new RouterId("hostile"), 1));
    private Envelope proof = Envelope.getDefaultInstance();

    private Session(Socket socket) {
      this.socket = socket;
    }

    private void authenticate() throws IOException {
      HandshakeProofs proofs = new HandshakeProofs(List.of(PeerTransportFixture.SECRET));
      writeFrame(socket, Handshakes.envelope(own).toByteArray());
      Hello server = readFrame(socket).getHello();
      proof = Handshakes.proof(proofs.clientProof(own, server));
      writeFrame(socket, proof.toByteArray());
      assertTrue(readFrame(socket).hasHelloProof());
    }
  }
}
