package org.coltsfootvale.router.request;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.Outcome;

/** Keeps the stated outcome of an error true to all attempts of its request. */
final class Truthful {

  private Truthful() {}

  /** Returns the error, with an unknown outcome if an earlier attempt may have run. */
  static ColtsfootvaleException error(ColtsfootvaleException error, boolean mayHaveRun) {
    if (!mayHaveRun || error.outcome() == Outcome.UNKNOWN) {
      return error;
    }
    return asUnknown(error);
  }

  /** Returns the same error with an unknown outcome. */
  static ColtsfootvaleException asUnknown(ColtsfootvaleException error) {
    return new ColtsfootvaleException(
        error.kind(),
        Outcome.UNKNOWN,
        String.valueOf(error.getMessage()),
        error.retryAfter().orElse(null),
        error);
  }
}
