package org.coltsfootvale.core.error;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.jspecify.annotations.Nullable;

/** Extracts failures from the exceptions in which futures wrap them. */
public final class Failures {

  private Failures() {}

  /** Returns the failure without the wrapping exceptions of futures. */
  public static Throwable unwrap(Throwable failure) {
    Throwable current = failure;
    while (current instanceof CompletionException || current instanceof ExecutionException) {
      Throwable cause = current.getCause();
      if (cause == null) {
        return current;
      }
      current = cause;
    }
    return current;
  }

  /**
   * Returns the typed error of a failed future.
   *
   * @param failure the failure of the future; null is treated as an unknown failure
   * @return the error itself if it is typed, otherwise an INTERNAL error with an unknown outcome
   */
  public static ColtsfootvaleException typed(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : unwrap(failure);
    if (cause instanceof ColtsfootvaleException typed) {
      return typed;
    }
    return new ColtsfootvaleException(
        ErrorKind.INTERNAL, Outcome.UNKNOWN, "An untyped failure: " + cause, null, cause);
  }
}
