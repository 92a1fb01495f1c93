package org.coltsfootvale.router.caller;

import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.io.InputStream;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collections;
import java.util.regex.Pattern;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.router.http.HeadEncoding;
import org.coltsfootvale.router.request.CallerHeaders;
import org.coltsfootvale.router.request.ServingSettings;
import org.jspecify.annotations.Nullable;

/** Reads the headers, deadline and body of callers' requests. */
final class RequestReader {

  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");

  private final ServingSettings settings;
  private final InstantSource clock;

  RequestReader(ServingSettings settings, InstantSource clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Returns the headers of a request.
   *
   * @throws ColtsfootvaleException MALFORMED_REQUEST, with outcome NOT_RUN, if a value is not
   *     UTF-8, as it could not be passed on unchanged
   */
  static Headers headers(HttpServletRequest request) {
    Headers.Builder headers = new Headers.Builder();
    for (String name : Collections.list(request.getHeaderNames())) {
      for (String value : Collections.list(request.getHeaders(name))) {
        headers.addUnsafeNonAscii(name, text(name, value));
      }
    }
    return headers.build();
  }

  private static String text(String name, String value) {
    return HeadEncoding.decode(value)
        .orElseThrow(
            () ->
                ColtsfootvaleException.notRun(
                    ErrorKind.MALFORMED_REQUEST, "the value of " + name + " is not UTF-8"));
  }

  /**
   * Returns the time by which the answer must be complete.
   *
   * @throws ColtsfootvaleException INVALID_DEADLINE, with outcome NOT_RUN
   */
  Instant deadline(@Nullable String header) {
    if (header == null) {
      return clock.instant().plusMillis(settings.deadlineMillisDefault());
    }
    int millis = MILLIS.matcher(header).matches() ? Integer.parseInt(header) : 0;
    if (millis < 1 || millis > ServingSettings.DEADLINE_MILLIS_MAX) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.INVALID_DEADLINE,
          CallerHeaders.DEADLINE_MILLIS
              + " must be a whole number in 1.."
              + ServingSettings.DEADLINE_MILLIS_MAX);
    }
    return clock.instant().plusMillis(millis);
  }

  /**
   * Reads the complete body.
   *
   * @throws ColtsfootvaleException BODY_TOO_LARGE or CANCELLED, with outcome NOT_RUN
   */
  static byte[] body(HttpServletRequest request, int bytesMax) {
    if (request.getContentLengthLong() > bytesMax) {
      throw tooLarge(bytesMax);
    }
    try (InputStream input = request.getInputStream()) {
      byte[] body = input.readNBytes(bytesMax + 1);
      if (body.length > bytesMax) {
        throw tooLarge(bytesMax);
      }
      return body;
    } catch (IOException e) {
      throw new ColtsfootvaleException(
          ErrorKind.CANCELLED, Outcome.NOT_RUN, "the request's body broke off", null, e);
    }
  }

  private static ColtsfootvaleException tooLarge(int bytesMax) {
    return ColtsfootvaleException.notRun(
        ErrorKind.BODY_TOO_LARGE, "the body may have at most " + bytesMax + " bytes");
  }
}
