package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the client library from repeating a request by itself when the backend server answers 503
 * with {@code Retry-After: 0}: hides the header from the library and restores it for the reader.
 */
final class RetryAfterGuard {

  private static final String RETRY_AFTER = "Retry-After";
  private static final String HIDDEN = "X-Coltsfootvale-Hidden-Retry-After";

  private RetryAfterGuard() {}

  /** Hides the header; a network interceptor. */
  static Response hide(Interceptor.Chain chain) throws IOException {
    return rename(chain.proceed(chain.request()), RETRY_AFTER, HIDDEN);
  }

  /** Restores the header; an application interceptor. */
  static Response restore(Interceptor.Chain chain) throws IOException {
    return rename(chain.proceed(chain.request()), HIDDEN, RETRY_AFTER);
  }

  private static Response rename(Response response, String from, String to) {
    @Nullable String value = response.header(from);
    if (value == null) {
      return response;
    }
    return response.newBuilder().removeHeader(from).header(to, value).build();
  }
}
