package org.coltsfootvale.core.once;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.spec.SecretKeySpec;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.support.Checks;
import org.coltsfootvale.core.support.Digests;

/**
 * Key prefixes authenticated by HMAC-SHA-256 with the fleet's secret. A prefix consists of {@code
 * k1-} and URL-safe base64; a key consists of the prefix, a dot and a decimal counter. Parsing does
 * not check the expiry, because only the home can tell whether an expired key was executed.
 * Thread-safe.
 */
public final class DefaultKeyPrefixes implements KeyPrefixes {

  /** The maximum length of a key without a home, in characters. */
  public static final int PLAIN_KEY_CHARACTERS_MAX = 200;

  private static final Pattern PREFIXED_KEY =
      Pattern.compile("k1-([A-Za-z0-9_-]{1,400})\\.([0-9]{1,18})");
  private static final String TAG = "k1-";
  private static final int MAC_BYTES = 16;
  private static final int FIXED_BYTES = 3 * Long.BYTES;
  private static final int SECRET_BYTES_MIN = 16;

  private final List<SecretKeySpec> secrets;
  private final Duration lifetime;
  private final InstantSource clock;
  private final LongSupplier nonces;

  /**
   * Creates an instance.
   *
   * @param secrets the fleet's secrets of at least 16 bytes; the first one signs and all are
   *     accepted, so that a secret is rotated by adding the new one in front and keeping the old
   *     one for the lifetime of a prefix
   * @param lifetime the lifetime of a prefix
   * @param clock the wall clock
   * @param nonces unpredictable 64-bit numbers that distinguish the prefixes of one home
   */
  public DefaultKeyPrefixes(
      List<byte[]> secrets, Duration lifetime, InstantSource clock, LongSupplier nonces) {
    Checks.argument(!secrets.isEmpty(), "secrets must not be empty; give the fleet's secret");
    this.secrets = secrets.stream().map(DefaultKeyPrefixes::toKeySpec).toList();
    this.lifetime = lifetime;
    this.clock = clock;
    this.nonces = nonces;
  }

  @Override
  public String mint(RouterIncarnation home) {
    byte[] homeId = home.id().value().getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer = ByteBuffer.allocate(FIXED_BYTES + homeId.length + MAC_BYTES);
    buffer.putLong(clock.instant().plus(lifetime).toEpochMilli());
    buffer.putLong(home.number());
    buffer.putLong(nonces.getAsLong());
    buffer.put(homeId);
    byte[] payload = Arrays.copyOf(buffer.array(), FIXED_BYTES + homeId.length);
    buffer.put(mac(secrets.get(0), payload));
    return TAG + Base64.getUrlEncoder().withoutPadding().encodeToString(buffer.array());
  }

  @Override
  public IdempotencyKey parse(OrganisationId organisation, String text) {
    Matcher matcher = PREFIXED_KEY.matcher(text);
    if (matcher.matches()) {
      return parsePrefixed(organisation, text, decodeBase64(matcher.group(1)));
    }
    if (text.isBlank() || text.length() > PLAIN_KEY_CHARACTERS_MAX) {
      throw malformedKey(
          "An idempotency key must have 1 to "
              + PLAIN_KEY_CHARACTERS_MAX
              + " characters, but has "
              + text.length()
              + ".");
    }
    return new IdempotencyKey(organisation, text, null, Instant.MAX);
  }

  private IdempotencyKey parsePrefixed(OrganisationId organisation, String text, byte[] bytes) {
    int payloadLength = bytes.length - MAC_BYTES;
    if (payloadLength <= FIXED_BYTES) {
      throw malformedKey("The idempotency key's prefix is cut short.");
    }
    byte[] payload = Arrays.copyOf(bytes, payloadLength);
    byte[] receivedMac = Arrays.copyOfRange(bytes, payloadLength, bytes.length);
    if (!isAuthentic(payload, receivedMac)) {
      throw malformedKey("The idempotency key's prefix was not issued by this fleet.");
    }
    ByteBuffer buffer = ByteBuffer.wrap(payload);
    Instant expiresAt = Instant.ofEpochMilli(buffer.getLong());
    long incarnation = buffer.getLong();
    String homeId =
        new String(payload, FIXED_BYTES, payloadLength - FIXED_BYTES, StandardCharsets.UTF_8);
    RouterIncarnation home = new RouterIncarnation(new RouterId(homeId), incarnation);
    return new IdempotencyKey(organisation, text, home, expiresAt);
  }

  private boolean isAuthentic(byte[] payload, byte[] receivedMac) {
    boolean matches = false;
    for (SecretKeySpec candidate : secrets) {
      matches |= MessageDigest.isEqual(mac(candidate, payload), receivedMac);
    }
    return matches;
  }

  private static byte[] decodeBase64(String text) {
    try {
      return Base64.getUrlDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      throw malformedKey("The idempotency key's prefix is not valid base64.");
    }
  }

  private static byte[] mac(SecretKeySpec key, byte[] payload) {
    return Arrays.copyOf(Digests.hmacSha256(key).doFinal(payload), MAC_BYTES);
  }

  private static SecretKeySpec toKeySpec(byte[] bytes) {
    Checks.argument(
        bytes.length >= SECRET_BYTES_MIN,
        "a secret must have at least %d bytes, but has %d",
        SECRET_BYTES_MIN,
        bytes.length);
    return new SecretKeySpec(bytes, Digests.HMAC_ALGORITHM);
  }

  private static ColtsfootvaleException malformedKey(String detail) {
    return ColtsfootvaleException.notRun(ErrorKind.MALFORMED_KEY, detail);
  }
}
