package org.coltsfootvale.router.backend;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;

/**
 * The HTTP clients towards backend servers. None of them follows, repeats or re-routes a request by
 * itself; silence and deadlines are watched by {@link CallWatchdog}.
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
            .addInterceptor(RetryAfterGuard::restore)
            .addNetworkInterceptor(BackendClients::removeAddedHeaders)
            .addNetworkInterceptor(SendGate::intercept)
            .addNetworkInterceptor(RetryAfterGuard::hide)
            .build();
    fresh =
        pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS)).build();
  }

  /** Returns the client that reuses connections within their proved age. */
  OkHttpClient pooled() {
    return pooled;
  }

  /** Returns the client that opens a connection for each request. */
  OkHttpClient fresh() {
    return fresh;
  }

  private static okhttp3.Response removeAddedHeaders(okhttp3.Interceptor.Chain chain)
      throws java.io.IOException {
    Request request = chain.request();
    String agent = request.header("User-Agent");
    if (agent != null && agent.startsWith("okhttp/")) {
      request = request.newBuilder().removeHeader("User-Agent").build();
    }
    return chain.proceed(request);
  }
}
