package org.coltsfootvale.core.retry;

import java.time.Duration;
import org.coltsfootvale.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * A failed attempt at a backend server.
 *
 * @param stage how far the attempt is known to have come
 * @param kind the error to give the caller if this was the last attempt
 * @param detail what failed
 * @param retryAfter the backend server's own advice, or null
 */
public record AttemptFailure(
    Stage stage, ErrorKind kind, String detail, @Nullable Duration retryAfter) {

  /** How far an attempt is known to have come. */
  public enum Stage {
    /** No byte of the request left towards the backend server. */
    NOT_SENT,
    /** The backend server said that it did not run the request. */
    REFUSED,
    /** The request was sent; no part of the answer arrived. */
    SENT,
    /** Part of the answer arrived and may have reached the caller. */
    PARTIAL
  }
}
