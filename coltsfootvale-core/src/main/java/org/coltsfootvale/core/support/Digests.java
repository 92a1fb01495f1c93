package org.coltsfootvale.core.support;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Digests that every Java runtime supports, without checked exceptions. */
public final class Digests {

  /** The algorithm name of HMAC-SHA-256, which keys are created with. */
  public static final String HMAC_ALGORITHM = "HmacSHA256";

  private Digests() {}

  /** Returns the 32-byte SHA-256 digest of a text in UTF-8. */
  public static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime lacks SHA-256", e);
    }
  }

  /** Returns a new HMAC-SHA-256 instance initialised with a key. */
  public static Mac hmacSha256(SecretKeySpec key) {
    try {
      Mac mac = Mac.getInstance(HMAC_ALGORITHM);
      mac.init(key);
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime lacks " + HMAC_ALGORITHM, e);
    }
  }
}
