package org.coltsfootvale.core.platform;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.jspecify.annotations.Nullable;

/** Thrown if a call to one of the platform's services fails. */
public class PlatformException extends ColtsfootvaleException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveTakenEffect;

  /**
   * Creates the exception.
   *
   * @param detail the description of the failure
   * @param mayHaveTakenEffect whether a write may have taken effect although the reply is missing
   * @param cause the transport's failure, or null
   */
  public PlatformException(String detail, boolean mayHaveTakenEffect, @Nullable Throwable cause) {
    super(ErrorKind.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN, detail, null, cause);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether a write may have taken effect although the reply is missing. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
