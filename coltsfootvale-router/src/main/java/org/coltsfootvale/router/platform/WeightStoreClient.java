package org.coltsfootvale.router.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import okhttp3.OkHttpClient;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.PoolId;

/** Reads and writes placement weights in the platform's rate-limited weight store. */
public final class WeightStoreClient {

  private final String base;
  private final JsonHttpClient jsonClient;

  /** Creates a client of the weight store at a base address. */
  public WeightStoreClient(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, URI url, Duration timeout) {
    this.base = url.toString().replaceAll("/$", "") + "/weights/";
    this.jsonClient = new JsonHttpClient(client, mapper, meters, timeout);
  }

  /** Reads the weights of a pool; the map is empty if none are stored. */
  public CompletableFuture<Map<EngineId, Double>> read(PoolId pool) {
    return jsonClient
        .get("weights_read", base + pool)
        .thenApply(
            answer -> {
              Map<EngineId, Double> weights = new HashMap<>();
              answer
                  .path("weights")
                  .properties()
                  .forEach(e -> weights.put(new EngineId(e.getKey()), e.getValue().asDouble()));
              return weights;
            });
  }

  /** Writes the weights of a pool; fails with a PlatformException if the rate limit is exceeded. */
  public CompletableFuture<Void> write(PoolId pool, Map<EngineId, Double> weights) {
    ObjectNode body = jsonClient.mapper().createObjectNode();
    ObjectNode values = body.putObject("weights");
    weights.forEach((engine, weight) -> values.put(engine.value(), weight));
    return jsonClient.put("weights_write", base + pool, body).thenApply(answer -> null);
  }
}
