package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.util.Objects;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * The body of a backend server's refusal; missing members are empty.
 *
 * @param outcome {@code not_run} if it did not run the request
 * @param reason the reason, for example {@code full} or {@code leaving}
 * @param detail a text for the caller
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record RefusalBody(String outcome, String reason, String detail) {

  private static final RefusalBody EMPTY = new RefusalBody("", "", "");
  private static final int BYTES_MAX = 8_192;
  private static final ObjectReader READER = new ObjectMapper().readerFor(RefusalBody.class);

  /** Replaces missing members by empty strings. */
  RefusalBody(@Nullable String outcome, @Nullable String reason, @Nullable String detail) {
    this.outcome = Objects.requireNonNullElse(outcome, "");
    this.reason = Objects.requireNonNullElse(reason, "");
    this.detail = Objects.requireNonNullElse(detail, "");
  }

  /** Parses a response's body up to a size limit; an invalid body yields empty members. */
  static RefusalBody read(Response response) {
    try {
      @Nullable RefusalBody body = READER.readValue(response.peekBody(BYTES_MAX).bytes());
      return body == null ? EMPTY : body;
    } catch (IOException e) {
      return EMPTY;
    }
  }
}
