package org.coltsfootvale.core.support;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The digests that every Java runtime has, without their checked exceptions. */
public final class Digests {

  /** The name of the message authentication code, as a key needs it. */
  public static final String HMAC_ALGORITHM = "HmacSHA256";

  private Digests() {}

  /** Returns the SHA-256 of a text in UTF-8: 32 bytes. */
  public static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime lacks SHA-256", e);
    }
  }

  /** Returns a fresh HMAC-SHA-256 with a key. */
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
