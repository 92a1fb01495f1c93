package org.coltsfootvale.core.error;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The base class of typed errors. Contains the kind, the detail, the outcome of the request and, if
 * a retry can help, the retry delay.
 */
public class ColtsfootvaleException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final Outcome outcome;
  private final String detail;
  private final @Nullable Duration retryAfter;

  /** Creates an error without a retry delay and without a cause. */
  public ColtsfootvaleException(ErrorKind kind, Outcome outcome, String detail) {
    this(kind, outcome, detail, null, null);
  }

  /**
   * Creates an error.
   *
   * @param kind the kind, which determines the remedy
   * @param outcome whether the request is known not to have run
   * @param detail the description of the error in one sentence
   * @param retryAfter the retry delay, or null if a retry cannot help
   * @param cause the underlying failure, or null
   */
  public ColtsfootvaleException(
      ErrorKind kind,
      Outcome outcome,
      String detail,
      @Nullable Duration retryAfter,
      @Nullable Throwable cause) {
    super(detail, cause);
    this.kind = kind;
    this.outcome = outcome;
    this.detail = detail;
    this.retryAfter = retryAfter;
  }

  /** Returns an error for a request that did not run. */
  public static ColtsfootvaleException notRun(ErrorKind kind, String detail) {
    return new ColtsfootvaleException(kind, Outcome.NOT_RUN, detail);
  }

  /** Returns an error for a request that did not run and may be retried after a delay. */
  public static ColtsfootvaleException notRun(ErrorKind kind, String detail, Duration retryAfter) {
    return new ColtsfootvaleException(kind, Outcome.NOT_RUN, detail, retryAfter, null);
  }

  /** Returns an error for a request that may have run. */
  public static ColtsfootvaleException outcomeUnknown(ErrorKind kind, String detail) {
    return new ColtsfootvaleException(kind, Outcome.UNKNOWN, detail);
  }

  @Override
  public String getMessage() {
    return detail;
  }

  /** Returns the kind of error. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns whether the request is known not to have run. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the retry delay; empty if a retry cannot help. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
