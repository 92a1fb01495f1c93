package org.coltsfootvale.router.operator;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.OperatorSpec;
import org.coltsfootvale.core.support.Digests;
import org.coltsfootvale.router.http.HeadEncoding;
import org.jspecify.annotations.Nullable;

/**
 * Authenticates operators by the token hashes in the release state, or by the bootstrap token while
 * the release state has no operator.
 */
final class OperatorAuthenticator {

  private static final String SCHEME = "Bearer ";

  private final Supplier<FleetState> state;
  private final String bootstrapTokenHash;

  OperatorAuthenticator(Supplier<FleetState> state, String bootstrapTokenHash) {
    this.state = state;
    this.bootstrapTokenHash = bootstrapTokenHash;
  }

  /**
   * Checks an {@code Authorization} header, given with each byte as a character.
   *
   * @throws ColtsfootvaleException UNAUTHENTICATED, not run, if the token is missing or not known
   */
  void check(@Nullable String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      throw unauthenticated("The request names no operator token.");
    }
    byte[] hash =
        HeadEncoding.decode(authorization.substring(SCHEME.length()).trim())
            .map(Digests::sha256)
            .orElseThrow(() -> unauthenticated("The operator token is not UTF-8."));
    if (!isKnown(hash)) {
      throw unauthenticated("The operator token is not known.");
    }
  }

  private boolean isKnown(byte[] hash) {
    var operators = state.get().operators();
    if (operators.isEmpty()) {
      return matches(bootstrapTokenHash, hash);
    }
    boolean known = false;
    for (OperatorSpec operator : operators.values()) {
      known |= matches(operator.tokenHash(), hash);
    }
    return known;
  }

  private static boolean matches(String expectedHex, byte[] hash) {
    return MessageDigest.isEqual(HexFormat.of().parseHex(expectedHex), hash);
  }

  private static ColtsfootvaleException unauthenticated(String detail) {
    return ColtsfootvaleException.notRun(
        ErrorKind.UNAUTHENTICATED,
        detail + " Operators send 'Authorization: Bearer <operator token>'.");
  }
}
