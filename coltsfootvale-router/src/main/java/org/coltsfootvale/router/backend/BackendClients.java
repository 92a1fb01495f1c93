package org.coltsfootvale.router.backend;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * The HTTP clients for backend servers. None of them follows redirects or retries on its own;
 * {@link CallWatchdog} enforces inactivity time-outs and deadlines.
 */
public final class BackendClients {

  private final OkHttpClient pooled;
  private final OkHttpClient fresh;

  /** Creates the clients. */
  public BackendClients(BackendSettings settings) {
    ConnectionPool pool =
        new ConnectionPool(
            settings.idleConnectionsMax(), settings.provedAgeMillis(), TimeUnit.MILLISECONDS);
    pooled =
        new OkHttpClient.Builder()
            .connectionPool(pool)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(Duration.ofMillis(settings.connectTimeoutMillis()))
            .readTimeout(Duration.ZERO)
            .writeTimeout(Duration.ZERO)
            .addInterceptor(RetryAfterInterceptor::restore)
            .addNetworkInterceptor(BackendClients::removeDefaultUserAgent)
            .addNetworkInterceptor(SendGate::intercept)
            .addNetworkInterceptor(RetryAfterInterceptor::hide)
            .addNetworkInterceptor(AnswerInterceptor::intercept)
            .build();
    fresh =
        pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS)).build();
  }

  /** Returns the client that reuses idle connections. */
  OkHttpClient pooled() {
    return pooled;
  }

  /** Returns the client that opens a new connection for each request. */
  OkHttpClient fresh() {
    return fresh;
  }

  private static okhttp3.Response removeDefaultUserAgent(okhttp3.Interceptor.Chain chain)
      throws java.io.IOException {
    Request request = chain.request();
    String agent = request.header("User-Agent");
    if (agent != null && agent.startsWith("okhttp/")) {
      request = request.newBuilder().removeHeader("User-Agent").build();
    }
    return chain.proceed(request);
  }
}
