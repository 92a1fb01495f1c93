package org.coltsfootvale.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** A blocking HTTP client for the tests. */
public final class TestHttp implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final OkHttpClient client;

  public TestHttp() {
    this(READ_TIMEOUT_MILLIS);
  }

  private TestHttp(int readTimeoutMillis) {
    client =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .readTimeout(Duration.ofMillis(readTimeoutMillis))
            .build();
  }

  public static TestHttp withReadTimeoutMillis(int millis) {
    return new TestHttp(millis);
  }

  public Reply send(String method, String url, String body, Map<String, String> headers)
      throws IOException {
    try (Response response = open(method, url, body, headers)) {
      return new Reply(response.code(), response.body().string());
    }
  }

  public Response open(String method, String url, String body, Map<String, String> headers)
      throws IOException {
    Request.Builder request = new Request.Builder().url(url);
    request.method(method, method.equals("GET") ? null : RequestBody.create(body, null));
    headers.forEach(request::header);
    return client.newCall(request.build()).execute();
  }

  public Reply get(String url) throws IOException {
    return send("GET", url, "", Map.of());
  }

  public Reply post(String url, String body) throws IOException {
    return send("POST", url, body, Map.of());
  }

  public static JsonNode json(String text) throws IOException {
    return MAPPER.readTree(text);
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  /** A status and a body. */
  public record Reply(int status, String body) {

    public JsonNode json() throws IOException {
      return TestHttp.json(body);
    }
  }
}
