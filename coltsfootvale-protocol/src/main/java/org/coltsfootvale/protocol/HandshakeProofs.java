package org.coltsfootvale.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.coltsfootvale.core.support.Checks;
import org.coltsfootvale.core.support.Digests;
import org.coltsfootvale.protocol.wire.Hello;
import org.jspecify.annotations.Nullable;

/**
 * Computes and verifies the proofs of the fleet's shared secret. A proof is an HMAC-SHA256 over the
 * side and both {@code Hello} messages, which hold the nonces and the router incarnations.
 * Thread-safe.
 */
final class HandshakeProofs {

  /** The size of a nonce, in bytes. */
  static final int NONCE_BYTES = 16;

  private final List<SecretKeySpec> keys;

  /**
   * Creates the proofs for a list of secrets.
   *
   * @param secrets the accepted secrets; outgoing connections use the first
   */
  HandshakeProofs(List<String> secrets) {
    Checks.argument(!secrets.isEmpty(), "at least one fleet secret is required");
    for (String secret : secrets) {
      Checks.argument(
          secret.length() >= PeerTransport.SECRET_LENGTH_MIN,
          "a fleet secret must have at least %d characters",
          PeerTransport.SECRET_LENGTH_MIN);
    }
    keys =
        secrets.stream()
            .map(
                secret ->
                    new SecretKeySpec(
                        secret.getBytes(StandardCharsets.UTF_8), Digests.HMAC_ALGORITHM))
            .toList();
  }

  /** Returns the client's proof under the first secret. */
  byte[] clientProof(Hello client, Hello server) {
    return mac(keys.get(0), Side.CLIENT, client, server);
  }

  /** Returns whether the server's proof is valid under the first secret. */
  boolean isServerProof(byte[] proof, Hello client, Hello server) {
    return MessageDigest.isEqual(proof, mac(keys.get(0), Side.SERVER, client, server));
  }

  /**
   * Verifies the client's proof and returns the server's proof under the same secret, or null if no
   * accepted secret matches.
   */
  byte @Nullable [] answerClientProof(byte[] proof, Hello client, Hello server) {
    for (SecretKeySpec key : keys) {
      if (MessageDigest.isEqual(proof, mac(key, Side.CLIENT, client, server))) {
        return mac(key, Side.SERVER, client, server);
      }
    }
    return null;
  }

  private static byte[] mac(SecretKeySpec key, Side side, Hello client, Hello server) {
    Mac mac = Digests.hmacSha256(key);
    mac.update(side.label);
    update(mac, client);
    update(mac, server);
    return mac.doFinal();
  }

  private static void update(Mac mac, Hello hello) {
    byte[] bytes = hello.toByteArray();
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    mac.update(bytes);
  }

  private enum Side {
    CLIENT((byte) 'c'),
    SERVER((byte) 's');

    private final byte label;

    Side(byte label) {
      this.label = label;
    }
  }
}
