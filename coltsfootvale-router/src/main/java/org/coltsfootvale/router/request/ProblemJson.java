package org.coltsfootvale.router.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;

/** Serialises errors as problem details in JSON. */
public final class ProblemJson {

  /** The media type of problem details. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  private ProblemJson() {}

  private record Problem(
      String type,
      String title,
      int status,
      String detail,
      String remedy,
      String outcome,
      String requestId) {}

  /** Returns the error as a JSON object. */
  public static byte[] write(ColtsfootvaleException error, String requestId) {
    String kind = error.kind().name();
    Problem problem =
        new Problem(
            "urn:coltsfootvale:error:" + lowerCase(kind),
            kind,
            error.kind().httpStatus(),
            String.valueOf(error.getMessage()),
            error.kind().remedy(),
            lowerCase(error.outcome().name()),
            requestId);
    try {
      return MAPPER.writeValueAsBytes(problem);
    } catch (JsonProcessingException e) {
      return "{}".getBytes(StandardCharsets.UTF_8);
    }
  }

  /** Returns the headers of a problem: its media type and Retry-After, if it has a retry delay. */
  public static Headers headers(ColtsfootvaleException error) {
    Headers.Builder headers = new Headers.Builder().add("Content-Type", MEDIA_TYPE);
    error
        .retryAfter()
        .ifPresent(
            wait -> {
              long seconds = (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
              headers.add("Retry-After", Long.toString(Math.max(1, seconds)));
            });
    return headers.build();
  }

  private static String lowerCase(String text) {
    return text.toLowerCase(Locale.ROOT);
  }
}
