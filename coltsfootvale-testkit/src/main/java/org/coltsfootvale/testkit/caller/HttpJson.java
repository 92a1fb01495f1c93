package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.coltsfootvale.testkit.support.Json;

/** The callers' HTTP client. */
final class HttpJson implements AutoCloseable {

  private static final int CALLS_MAX = 1_024;
  private static final int IDLE_CONNECTIONS_MAX = 256;
  private static final Duration IDLE_TIME = Duration.ofSeconds(30);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);

  private final OkHttpClient client;

  HttpJson() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(CALLS_MAX);
    dispatcher.setMaxRequestsPerHost(CALLS_MAX);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(
                    IDLE_CONNECTIONS_MAX,
                    IDLE_TIME.toSeconds(),
                    java.util.concurrent.TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(READ_TIMEOUT)
            .build();
  }

  /** Returns the underlying client, for calls other than {@link #get}. */
  OkHttpClient client() {
    return client;
  }

  /** Returns the JSON object at a URL; empty if the call fails. */
  Optional<JsonNode> get(String url, Optional<String> token) {
    Request.Builder request = new Request.Builder().url(url);
    token.ifPresent(text -> request.header("Authorization", "Bearer " + text));
    try (Response response = client.newCall(request.build()).execute()) {
      return response.isSuccessful()
          ? Optional.of(Json.parseObject(response.body().string()))
          : Optional.empty();
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public void close() {
    client.dispatcher().cancelAll();
    client.dispatcher().executorService().shutdownNow();
    client.connectionPool().evictAll();
  }
}
