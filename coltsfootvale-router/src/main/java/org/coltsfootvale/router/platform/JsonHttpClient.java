package org.coltsfootvale.router.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.coltsfootvale.core.platform.PlatformException;

/** Sends JSON requests to the platform's services and counts them by kind and result. */
final class JsonHttpClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int TOO_MANY_REQUESTS = 429;

  private final OkHttpClient client;
  private final ObjectMapper mapper;
  private final MeterRegistry meters;

  JsonHttpClient(OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, Duration timeout) {
    this.client =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .callTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .build();
    this.mapper = mapper;
    this.meters = meters;
  }

  ObjectMapper mapper() {
    return mapper;
  }

  CompletableFuture<JsonNode> post(String kind, String url, JsonNode body, boolean write) {
    RequestBody requestBody = RequestBody.create(encode(body), JSON);
    return call(kind, new Request.Builder().url(url).post(requestBody).build(), write);
  }

  CompletableFuture<JsonNode> put(String kind, String url, JsonNode body) {
    RequestBody requestBody = RequestBody.create(encode(body), JSON);
    return call(kind, new Request.Builder().url(url).put(requestBody).build(), true);
  }

  CompletableFuture<JsonNode> get(String kind, String url) {
    return call(kind, new Request.Builder().url(url).get().build(), false);
  }

  byte[] encode(JsonNode body) {
    try {
      return mapper.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialise the request body as JSON", e);
    }
  }

  private CompletableFuture<JsonNode> call(String kind, Request request, boolean write) {
    CompletableFuture<JsonNode> result = new CompletableFuture<>();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                countResult(kind, "failed");
                String detail = "platform call " + kind + " failed: " + e.getMessage();
                result.completeExceptionally(new PlatformException(detail, write, e));
              }

              @Override
              public void onResponse(Call call, Response response) {
                complete(kind, response, write, result);
              }
            });
    return result;
  }

  private void complete(
      String kind, Response response, boolean write, CompletableFuture<JsonNode> result) {
    try (ResponseBody body = response.body()) {
      if (response.isSuccessful()) {
        JsonNode node = mapper.readTree(body.bytes());
        countResult(kind, "ok");
        result.complete(node);
        return;
      }
      countResult(kind, response.code() == TOO_MANY_REQUESTS ? "limited" : "refused");
      boolean mayHaveTakenEffect =
          write && response.code() != TOO_MANY_REQUESTS && response.code() >= 500;
      String detail =
          String.format(Locale.ROOT, "platform call %s answered %d", kind, response.code());
      result.completeExceptionally(new PlatformException(detail, mayHaveTakenEffect, null));
    } catch (IOException e) {
      countResult(kind, "failed");
      String detail = "platform call " + kind + " broke off: " + e.getMessage();
      result.completeExceptionally(new PlatformException(detail, write, e));
    }
  }

  void countResult(String kind, String result) {
    meters.counter("coltsfootvale.platform.calls", "kind", kind, "result", result).increment();
  }
}
