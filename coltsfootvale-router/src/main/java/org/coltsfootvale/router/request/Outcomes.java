package org.coltsfootvale.router.request;

import java.util.EnumSet;
import java.util.Set;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;

/** Keeps the stated outcome of an error true to all that is known of its request. */
public final class Outcomes {

  /** Errors of requests that can never have been accepted in the same form. */
  private static final Set<ErrorKind> NEVER_ACCEPTED =
      EnumSet.of(
          ErrorKind.UNAUTHENTICATED,
          ErrorKind.MALFORMED_KEY,
          ErrorKind.MALFORMED_REQUEST,
          ErrorKind.INVALID_DEADLINE);

  private Outcomes() {}

  /** Returns the error, with an unknown outcome if an earlier attempt may have run. */
  static ColtsfootvaleException overAllAttempts(ColtsfootvaleException error, boolean mayHaveRun) {
    return mayHaveRun ? asUnknown(error) : error;
  }

  /**
   * Returns the error of a request with a key that was refused before the key's state was looked
   * up: an earlier request with the same key may have run.
   */
  public static ColtsfootvaleException beforeKeyIsKnown(ColtsfootvaleException error) {
    return NEVER_ACCEPTED.contains(error.kind()) ? error : asUnknown(error);
  }

  /** Returns the same error with an unknown outcome. */
  public static ColtsfootvaleException asUnknown(ColtsfootvaleException error) {
    if (error.outcome() == Outcome.UNKNOWN) {
      return error;
    }
    return new ColtsfootvaleException(
        error.kind(),
        Outcome.UNKNOWN,
        String.valueOf(error.getMessage()),
        error.retryAfter().orElse(null),
        error);
  }
}
