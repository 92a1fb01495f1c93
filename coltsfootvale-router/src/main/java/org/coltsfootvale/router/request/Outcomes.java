package org.coltsfootvale.router.request;

import java.util.EnumSet;
import java.util.Set;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;

/** Adjusts the outcome of an error to whether its request may have run. */
public final class Outcomes {

  /** Errors of requests that cannot have been accepted earlier in the same form. */
  private static final Set<ErrorKind> NEVER_ACCEPTED =
      EnumSet.of(
          ErrorKind.UNAUTHENTICATED,
          ErrorKind.MALFORMED_KEY,
          ErrorKind.MALFORMED_REQUEST,
          ErrorKind.INVALID_DEADLINE);

  private Outcomes() {}

  /** Returns the error, with an unknown outcome if an earlier attempt may have run. */
  static ColtsfootvaleException afterAllAttempts(ColtsfootvaleException error, boolean mayHaveRun) {
    return mayHaveRun ? withUnknownOutcome(error) : error;
  }

  /**
   * Returns the error of a request with a key that failed before the key's lookup. Its outcome is
   * unknown, since an earlier request with the same key may have run.
   */
  public static ColtsfootvaleException beforeKeyLookup(ColtsfootvaleException error) {
    return NEVER_ACCEPTED.contains(error.kind()) ? error : withUnknownOutcome(error);
  }

  /** Returns the same error with an unknown outcome. */
  public static ColtsfootvaleException withUnknownOutcome(ColtsfootvaleException error) {
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
