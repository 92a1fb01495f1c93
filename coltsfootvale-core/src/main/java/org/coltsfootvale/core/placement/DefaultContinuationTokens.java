package org.coltsfootvale.core.placement;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.support.Checks;
import org.coltsfootvale.core.support.Digests;

/**
 * Continuation tokens authenticated by HMAC-SHA-256 over the hint, the organisation and the chat.
 * The first secret signs; all are accepted for verification, so that secrets can be rotated without
 * interruption.
 */
public final class DefaultContinuationTokens implements ContinuationTokens {

  private static final int VERSION = 1;
  private static final int MAC_BYTES = 16;
  private static final int SECRET_BYTES_MIN = 16;
  private static final int TOKEN_CHARACTERS_MAX = 512;
  private static final Duration CLOCK_SKEW_MAX = Duration.ofMinutes(1);

  private final List<SecretKeySpec> secrets;
  private final Duration ageMax;
  private final InstantSource clock;

  /**
   * Creates an issuer and verifier of tokens.
   *
   * @param secrets the accepted secrets, newest first, each of at least 16 bytes; not empty
   * @param ageMax the maximum age of a usable token
   * @param clock the clock
   */
  public DefaultContinuationTokens(List<byte[]> secrets, Duration ageMax, InstantSource clock) {
    Checks.argument(!secrets.isEmpty(), "give at least one secret for continuation tokens");
    for (byte[] secret : secrets) {
      Checks.argument(
          secret.length >= SECRET_BYTES_MIN,
          "a secret must have at least %d bytes, but has %d",
          SECRET_BYTES_MIN,
          secret.length);
    }
    this.secrets =
        secrets.stream().map(bytes -> new SecretKeySpec(bytes, Digests.HMAC_ALGORITHM)).toList();
    this.ageMax = ageMax;
    this.clock = clock;
  }

  @Override
  public String issue(OrganisationId organisation, String chat, CacheHint hint) {
    byte[] payload = encode(hint);
    byte[] mac = mac(secrets.get(0), payload, organisation, chat);
    byte[] token = Arrays.copyOf(payload, payload.length + MAC_BYTES);
    System.arraycopy(mac, 0, token, payload.length, MAC_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(token);
  }

  @Override
  public Optional<CacheHint> verify(OrganisationId organisation, String chat, String token) {
    byte[] bytes = decodeText(token);
    int payloadLength = bytes.length - MAC_BYTES;
    if (payloadLength <= 0 || bytes[0] != VERSION) {
      throw malformed();
    }
    byte[] payload = Arrays.copyOf(bytes, payloadLength);
    byte[] actual = Arrays.copyOfRange(bytes, payloadLength, bytes.length);
    boolean authentic =
        secrets.stream()
            .anyMatch(
                secret -> MessageDigest.isEqual(actual, mac(secret, payload, organisation, chat)));
    if (!authentic) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.FORBIDDEN,
          "the continuation token is forged or belongs to another organisation or chat");
    }
    CacheHint hint = decode(payload);
    return isCurrent(hint) ? Optional.of(hint) : Optional.empty();
  }

  private boolean isCurrent(CacheHint hint) {
    Duration age = Duration.between(hint.issuedAt(), clock.instant());
    return age.compareTo(ageMax) <= 0 && age.compareTo(CLOCK_SKEW_MAX.negated()) >= 0;
  }

  private static byte[] decodeText(String token) {
    if (token.length() > TOKEN_CHARACTERS_MAX) {
      throw malformed();
    }
    try {
      return Base64.getUrlDecoder().decode(token);
    } catch (IllegalArgumentException e) {
      throw malformed();
    }
  }

  private static byte[] encode(CacheHint hint) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(VERSION);
      out.writeUTF(hint.engine().value());
      out.writeLong(hint.engineIncarnation());
      out.writeInt(hint.cachedTokens());
      out.writeLong(hint.issuedAt().toEpochMilli());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static CacheHint decode(byte[] payload) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
      in.readByte();
      EngineId engine = new EngineId(in.readUTF());
      long incarnation = in.readLong();
      int cachedTokens = in.readInt();
      return new CacheHint(engine, incarnation, cachedTokens, Instant.ofEpochMilli(in.readLong()));
    } catch (IOException | IllegalArgumentException e) {
      throw malformed();
    }
  }

  private static byte[] mac(
      SecretKeySpec secret, byte[] payload, OrganisationId organisation, String chat) {
    Mac mac = Digests.hmacSha256(secret);
    mac.update(payload);
    mac.update((byte) 0);
    mac.update(organisation.value().getBytes(StandardCharsets.UTF_8));
    mac.update((byte) 0);
    mac.update(chat.getBytes(StandardCharsets.UTF_8));
    return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
  }

  private static ColtsfootvaleException malformed() {
    return ColtsfootvaleException.notRun(
        ErrorKind.MALFORMED_REQUEST, "the continuation token is not one that this fleet issued");
  }
}
