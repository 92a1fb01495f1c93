package org.coltsfootvale.router.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.orders.OrderTransport;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PoolSpec;
import org.coltsfootvale.router.backend.BoundedBody;
import org.jspecify.annotations.Nullable;

/** Sends orders to engines over HTTP. */
public final class HttpOrderTransport implements OrderTransport {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int CONFLICT = 409;
  private static final long ANSWER_BYTES_MAX = 64 * 1024;

  private final OkHttpClient client;
  private final ObjectMapper mapper;
  private final Supplier<FleetState> state;

  /**
   * Creates a transport.
   *
   * @param timeout the call timeout of an order
   */
  public HttpOrderTransport(
      OkHttpClient client, ObjectMapper mapper, Supplier<FleetState> state, Duration timeout) {
    this.client =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .callTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .build();
    this.mapper = mapper;
    this.state = state;
  }

  @Override
  public CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target) {
    ObjectNode body = mapper.createObjectNode().put("fencing", fencing);
    body.put("pool", target.id().value());
    ObjectNode node = body.putObject("target");
    node.put("modelVersion", target.modelVersion());
    node.put("role", target.role());
    ArrayNode adapters = node.putArray("adapters");
    target.adapters().forEach(adapters::add);
    return call(engine, RequestBody.create(body.toString(), JSON))
        .thenApply(answer -> answer.result);
  }

  @Override
  public CompletableFuture<OrderState> read(EngineId engine) {
    return call(engine, null).thenApply(answer -> orderState(answer.body));
  }

  private CompletableFuture<Answer> call(EngineId engine, @Nullable RequestBody body) {
    EngineSpec spec = state.get().engines().get(engine);
    if (spec == null) {
      return CompletableFuture.failedFuture(
          ColtsfootvaleException.notRun(
              ErrorKind.NO_BACKEND, "no release note has added engine " + engine));
    }
    Request.Builder request =
        new Request.Builder().url(spec.address().resolve("/orders").toString());
    CompletableFuture<Answer> result = new CompletableFuture<>();
    client
        .newCall(body == null ? request.get().build() : request.post(body).build())
        .enqueue(new AnswerReader(engine, result));
    return result;
  }

  private static OrderState orderState(JsonNode body) {
    JsonNode target = body.path("target");
    if (!target.isObject()) {
      return new OrderState(body.path("fencing").asLong(), null);
    }
    List<String> adapters = new ArrayList<>();
    target.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
    PoolSpec spec =
        new PoolSpec(
            new PoolId(body.path("pool").asText("unknown")),
            target.path("modelVersion").asText(),
            adapters,
            target.path("role").asText());
    return new OrderState(body.path("fencing").asLong(), spec);
  }

  private record Answer(OrderResult result, JsonNode body) {}

  private final class AnswerReader implements Callback {

    private final EngineId engine;
    private final CompletableFuture<Answer> result;

    AnswerReader(EngineId engine, CompletableFuture<Answer> result) {
      this.engine = engine;
      this.result = result;
    }

    @Override
    public void onFailure(Call call, IOException e) {
      result.completeExceptionally(
          new ColtsfootvaleException(
              ErrorKind.BACKEND_FAILED,
              org.coltsfootvale.core.error.Outcome.UNKNOWN,
              "an order to engine " + engine + " failed: " + e.getMessage(),
              null,
              e));
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (ResponseBody body = response.body()) {
        JsonNode node = mapper.readTree(BoundedBody.read(body, ANSWER_BYTES_MAX));
        result.complete(new Answer(resultOf(response.code()), node));
      } catch (IOException e) {
        onFailure(call, e);
      }
    }

    private static OrderResult resultOf(int status) {
      if (status == CONFLICT) {
        return OrderResult.STALE_FENCING;
      }
      return status / 100 == 2 ? OrderResult.APPLIED : OrderResult.REFUSED;
    }
  }
}
