package org.coltsfootvale.protocol;

import java.time.Duration;
import java.util.Locale;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.protocol.wire.Failure;

/** Converts exceptions to and from their wire form. */
final class FailureCodec {

  private FailureCodec() {}

  /** Encodes an exception. */
  static Failure encode(ColtsfootvaleException error) {
    String detail = error.getMessage();
    return Failure.newBuilder()
        .setKind(error.kind().name())
        .setOutcome(error.outcome().name().toLowerCase(Locale.ROOT))
        .setDetail(detail == null ? "" : detail)
        .setRetryAfterMillis(error.retryAfter().map(Duration::toMillis).orElse(0L))
        .build();
  }

  /**
   * Decodes an exception. An unrecognised kind becomes {@link ErrorKind#INTERNAL}, an unrecognised
   * outcome {@link Outcome#UNKNOWN}.
   */
  static ColtsfootvaleException decode(Failure failure) {
    Outcome outcome = failure.getOutcome().equals("not_run") ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    long retryAfterMillis = failure.getRetryAfterMillis();
    Duration retryAfter = retryAfterMillis > 0 ? Duration.ofMillis(retryAfterMillis) : null;
    return new ColtsfootvaleException(
        kind(failure.getKind()), outcome, failure.getDetail(), retryAfter, null);
  }

  private static ErrorKind kind(String name) {
    for (ErrorKind kind : ErrorKind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    return ErrorKind.INTERNAL;
  }
}
