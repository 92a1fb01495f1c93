package org.coltsfootvale.protocol;

import com.google.protobuf.ByteString;
import java.security.SecureRandom;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.Hello;
import org.coltsfootvale.protocol.wire.HelloProof;

/** Builds and parses the messages of the handshake. */
final class HandshakeMessages {

  /** The version of the inner protocol. */
  static final int PROTOCOL_VERSION = 1;

  private static final SecureRandom RANDOM = new SecureRandom();

  private HandshakeMessages() {}

  /** Returns a {@code Hello} message with a random nonce. */
  static Hello hello(RouterIncarnation self) {
    byte[] nonce = new byte[HandshakeProofs.NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setRouter(
            org.coltsfootvale.protocol.wire.RouterIncarnation.newBuilder()
                .setId(self.id().value())
                .setNumber(self.number()))
        .setNonce(ByteString.copyFrom(nonce))
        .build();
  }

  /** Wraps a {@code Hello} message in an envelope. */
  static Envelope envelope(Hello hello) {
    return Envelope.newBuilder().setHello(hello).build();
  }

  /** Wraps a proof in an envelope. */
  static Envelope proof(byte[] mac) {
    return Envelope.newBuilder()
        .setHelloProof(HelloProof.newBuilder().setMac(ByteString.copyFrom(mac)))
        .build();
  }

  /**
   * Validates a {@code Hello} message and returns its sender.
   *
   * @throws IllegalArgumentException if the message is not a {@code Hello}, its protocol version
   *     differs, or the router or the nonce is malformed
   */
  static RouterIncarnation parseSender(Envelope message) {
    if (!message.hasHello()) {
      throw new IllegalArgumentException("the first message must be a Hello");
    }
    Hello hello = message.getHello();
    if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
      throw new IllegalArgumentException(
          "protocol version " + hello.getProtocolVersion() + " is not supported");
    }
    if (hello.getNonce().size() != HandshakeProofs.NONCE_BYTES) {
      throw new IllegalArgumentException("the nonce has an invalid length");
    }
    return new RouterIncarnation(
        new RouterId(hello.getRouter().getId()), hello.getRouter().getNumber());
  }
}
