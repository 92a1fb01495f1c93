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
 * Computes and checks the proofs of the fleet's shared secret: HMAC-SHA256 over the side, both
 * nonces and both router incarnations. Thread-safe.
 */
final class HandshakeProofs {

  /** The bytes of a nonce. */
  static final int NONCE_BYTES = 16;

  private final List<SecretKeySpec> keys;

  /**
   * Creates proofs.
   *
   * @param secrets the accepted secrets, the one used for own connections first
   */
  HandshakeProofs(List<String> secrets) {
    Checks.argument(!secrets.isEmpty(), "give at least one fleet secret");
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

  /** Returns the proof of the connecting side under the current secret. */
  byte[] clientProof(Hello client, Hello server) {
    return mac(keys.get(0), Side.CLIENT, client, server);
  }

  /** Tells whether the accepting side has proved the current secret. */
  boolean isServerProof(byte[] proof, Hello client, Hello server) {
    return MessageDigest.isEqual(proof, mac(keys.get(0), Side.SERVER, client, server));
  }

  /** Returns the accepting side's proof under the secret the client used, or null if unknown. */
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
