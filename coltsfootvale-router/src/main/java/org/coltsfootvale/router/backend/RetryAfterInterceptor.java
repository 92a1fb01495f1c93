package org.coltsfootvale.router.backend;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * Prevents OkHttp from retrying a request on its own after a 503 with {@code Retry-After: 0}:
 * renames the header before the library's retry logic reads it and restores it afterwards.
 */
final class RetryAfterInterceptor {

  private static final String RETRY_AFTER = "Retry-After";
  private static final String HIDDEN_RETRY_AFTER = "X-Coltsfootvale-Hidden-Retry-After";

  private RetryAfterInterceptor() {}

  /** Network interceptor that hides the header. */
  static Response hide(Interceptor.Chain chain) throws IOException {
    return rename(chain.proceed(chain.request()), RETRY_AFTER, HIDDEN_RETRY_AFTER);
  }

  /** Application interceptor that restores the header. */
  static Response restore(Interceptor.Chain chain) throws IOException {
    return rename(chain.proceed(chain.request()), HIDDEN_RETRY_AFTER, RETRY_AFTER);
  }

  private static Response rename(Response response, String from, String to) {
    @Nullable String value = response.header(from);
    if (value == null) {
      return response;
    }
    return response.newBuilder().removeHeader(from).header(to, value).build();
  }
}
