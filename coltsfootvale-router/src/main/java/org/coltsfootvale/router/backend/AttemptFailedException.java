package org.coltsfootvale.router.backend;

import java.time.Duration;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.retry.AttemptFailure;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.jspecify.annotations.Nullable;

/** Thrown when an attempt at a backend server fails, with the stage that it had reached. */
public final class AttemptFailedException extends ColtsfootvaleException {

  private static final long serialVersionUID = 1L;

  private final transient AttemptFailure failure;
  private final boolean leaving;

  /** Creates a failure without a retry delay from the backend server. */
  public AttemptFailedException(
      Stage stage, ErrorKind kind, String detail, @Nullable Throwable cause) {
    this(new AttemptFailure(stage, kind, detail, null), false, cause);
  }

  /**
   * Creates a failure.
   *
   * @param failure the stage, kind and detail of the failure
   * @param leaving whether the backend server has announced its departure
   * @param cause the underlying failure, or null
   */
  public AttemptFailedException(
      AttemptFailure failure, boolean leaving, @Nullable Throwable cause) {
    super(failure.kind(), outcome(failure.stage()), failure.detail(), failure.retryAfter(), cause);
    this.failure = failure;
    this.leaving = leaving;
  }

  /** Creates a refusal, in which the backend server states that it did not run the request. */
  public static AttemptFailedException refused(
      String detail, @Nullable Duration retryAfter, boolean leaving) {
    AttemptFailure failure =
        new AttemptFailure(Stage.REFUSED, ErrorKind.OVERLOADED, detail, retryAfter);
    return new AttemptFailedException(failure, leaving, null);
  }

  private static Outcome outcome(Stage stage) {
    return switch (stage) {
      case NOT_SENT, REFUSED -> Outcome.NOT_RUN;
      case SENT, PARTIAL -> Outcome.UNKNOWN;
    };
  }

  /** Returns the stage, kind and detail of the failure. */
  public AttemptFailure failure() {
    return failure;
  }

  /** Returns whether the backend server has announced its departure. */
  public boolean leaving() {
    return leaving;
  }
}
