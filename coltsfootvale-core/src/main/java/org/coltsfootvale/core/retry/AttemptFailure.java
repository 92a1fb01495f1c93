package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * A failed attempt at a backend server.
 *
 * @param stage how far the attempt is known to have progressed
 * @param kind the error kind for the caller if this was the last attempt
 * @param detail a description of the failure
 * @param retryAfter the retry delay given by the backend server, or null
 */
public record AttemptFailure(
    Stage stage, ErrorKind kind, String detail, @Nullable Duration retryAfter) {

  /** How far an attempt is known to have progressed. */
  public enum Stage {
    /** No byte of the request was sent to the backend server. */
    NOT_SENT,
    /** The backend server reported that it did not run the request. */
    REFUSED,
    /** The request was sent; no part of the answer arrived. */
    SENT,
    /** Part of the answer arrived and may have reached the caller. */
    PARTIAL
  }
}
