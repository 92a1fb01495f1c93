package org.coltsfootvale.router.backend;

import java.time.Duration;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Parses the Retry-After header of backend servers. */
final class RetryAfter {

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}");

  private RetryAfter() {}

  /** Returns the retry delay, or null if the header is missing or is not a number of seconds. */
  static @Nullable Duration parse(@Nullable String value) {
    if (value == null || !SECONDS.matcher(value).matches()) {
      return null;
    }
    return Duration.ofSeconds(Long.parseLong(value));
  }
}
