package org.coltsfootvale.protocol;

import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;

/** Starts transports on the loopback interface and waits for conditions. */
final class PeerTransportFixture {

  static final String SECRET = "a secret of the test fleet";
  private static final long EVENT_TIMEOUT_SECONDS = 20;
  private static final long POLL_MILLIS = 5;
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(400);

  private final List<NettyPeerTransport> started = new ArrayList<>();

  NettyPeerTransport start(String name, PeerHandler handler, String... secrets) {
    List<String> accepted = secrets.length == 0 ? List.of(SECRET) : List.of(secrets);
    return start(name, handler, accepted, options(PEER_TIMEOUT));
  }

  /** Starts a transport that closes connections after the given time without a message. */
  NettyPeerTransport start(String name, PeerHandler handler, Duration peerTimeout) {
    return start(name, handler, List.of(SECRET), options(peerTimeout));
  }

  private NettyPeerTransport start(
      String name, PeerHandler handler, List<String> secrets, PeerTransportOptions options) {
    NettyPeerTransport transport =
        new NettyPeerTransport(
            new RouterIncarnation(new RouterId(name), 7),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            secrets,
            handler,
            options,
            InstantSource.system());
    transport.start();
    started.add(transport);
    return transport;
  }

  void stopAll() {
    started.forEach(NettyPeerTransport::stop);
    started.clear();
  }

  static PeerTransportOptions options() {
    return options(PEER_TIMEOUT);
  }

  private static PeerTransportOptions options(Duration peerTimeout) {
    return new PeerTransportOptions(
        1024 * 1024,
        1024 * 1024,
        2,
        Duration.ofSeconds(5),
        Duration.ofMillis(100),
        peerTimeout,
        Duration.ofSeconds(60),
        Duration.ofMillis(10),
        Duration.ofMillis(50));
  }

  static Envelope gossip(long revision) {
    return Envelope.newBuilder()
        .setGossip(Gossip.newBuilder().setReleaseRevision(revision))
        .build();
  }

  static ForwardRequest request(int creditBytes) {
    return ForwardRequest.newBuilder()
        .setRequestId("r1")
        .setInitialCreditBytes(creditBytes)
        .build();
  }

  static <T> T get(CompletableFuture<T> future) throws Exception {
    return Objects.requireNonNull(future.get(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  static void awaitDone(CompletableFuture<?> future) throws Exception {
    var unused = future.get(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  static ColtsfootvaleException failureOf(CompletableFuture<?> future) throws Exception {
    try {
      awaitDone(future);
      throw new AssertionError("the future completed without an error");
    } catch (ExecutionException e) {
      return (ColtsfootvaleException) Objects.requireNonNull(e.getCause());
    }
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_SECONDS);
    while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
      Thread.sleep(POLL_MILLIS);
    }
    assertTrue(condition.getAsBoolean(), "the condition was not met within the timeout");
  }
}
