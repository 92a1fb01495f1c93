package org.coltsfootvale.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;

/** Accesses the platform's key-value service over the etcd v3 JSON gateway. Thread-safe. */
public final class EtcdGatewayStore implements KeyValueStore {

  private static final MediaType JSON = MediaType.get("application/json");

  private final String base;
  private final JsonHttpClient jsonClient;
  private final OkHttpClient watchClient;

  /**
   * Creates a client.
   *
   * @param client the HTTP client whose connection pool is shared
   * @param mapper reads and writes JSON
   * @param meters counts the calls
   * @param url the base address
   * @param timeout the call timeout, which does not apply to watches
   */
  public EtcdGatewayStore(
      OkHttpClient client, ObjectMapper mapper, MeterRegistry meters, URI url, Duration timeout) {
    this.base = url.toString().replaceAll("/$", "") + "/v3/";
    this.jsonClient = new JsonHttpClient(client, mapper, meters, timeout);
    this.watchClient =
        client.newBuilder().readTimeout(Duration.ZERO).retryOnConnectionFailure(false).build();
  }

  @Override
  public CompletableFuture<Optional<KeyValue>> get(String key) {
    ObjectNode body = newObject().put("key", encode(key));
    return jsonClient
        .post("range", base + "kv/range", body, false)
        .thenApply(answer -> readValues(answer.path("kvs")).stream().findFirst());
  }

  @Override
  public CompletableFuture<List<KeyValue>> list(String prefix, String fromKey, int limit) {
    ObjectNode body =
        newObject()
            .put("key", encode(fromKey))
            .put("range_end", encode(prefixEnd(prefix)))
            .put("limit", Integer.toString(limit));
    return jsonClient
        .post("range", base + "kv/range", body, false)
        .thenApply(answer -> readValues(answer.path("kvs")));
  }

  @Override
  public CompletableFuture<OptionalLong> createIfAbsent(String key, byte[] value, long leaseId) {
    ObjectNode compare = compare(key, "CREATE").put("createRevision", "0");
    return transact(compare, putRequest(key, value, leaseId));
  }

  @Override
  public CompletableFuture<OptionalLong> compareAndSwap(
      String key, byte[] value, long expectedModRevision, long leaseId) {
    ObjectNode compare = compare(key, "MOD").put("modRevision", Long.toString(expectedModRevision));
    return transact(compare, putRequest(key, value, leaseId));
  }

  @Override
  public CompletableFuture<Boolean> delete(String key, long expectedModRevision) {
    ObjectNode compare = compare(key, "MOD").put("modRevision", Long.toString(expectedModRevision));
    ObjectNode request = newObject();
    request.putObject("requestDeleteRange").put("key", encode(key));
    return transact(compare, request).thenApply(OptionalLong::isPresent);
  }

  @Override
  public CompletableFuture<Long> grantLease(Duration timeToLive) {
    long seconds = Math.max(1, timeToLive.plusMillis(999).toSeconds());
    ObjectNode body = newObject().put("TTL", Long.toString(seconds)).put("ID", "0");
    return jsonClient
        .post("lease_grant", base + "lease/grant", body, true)
        .thenApply(answer -> answer.path("ID").asLong());
  }

  @Override
  public CompletableFuture<Duration> keepLeaseAlive(long leaseId) {
    ObjectNode body = newObject().put("ID", Long.toString(leaseId));
    return jsonClient
        .post("lease_keepalive", base + "lease/keepalive", body, true)
        .thenApply(answer -> answer.has("result") ? answer.get("result") : answer)
        .thenApply(answer -> Duration.ofSeconds(Math.max(0, answer.path("TTL").asLong())));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    ObjectNode body = newObject().put("ID", Long.toString(leaseId));
    return jsonClient
        .post("lease_revoke", base + "lease/revoke", body, true)
        .thenApply(answer -> null);
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    ObjectNode body = newObject();
    body.putObject("create_request")
        .put("key", encode(prefix))
        .put("range_end", encode(prefixEnd(prefix)))
        .put("start_revision", Long.toString(fromRevision));
    Request request =
        new Request.Builder()
            .url(base + "watch")
            .post(RequestBody.create(jsonClient.encode(body), JSON))
            .build();
    jsonClient.countResult("watch", "opened");
    return WatchCall.open(watchClient, request, jsonClient.mapper(), listener);
  }

  private CompletableFuture<OptionalLong> transact(ObjectNode compare, ObjectNode request) {
    ObjectNode body = newObject();
    body.putArray("compare").add(compare);
    body.putArray("success").add(request);
    body.putArray("failure");
    return jsonClient
        .post("txn", base + "kv/txn", body, true)
        .thenApply(
            answer ->
                answer.path("succeeded").asBoolean(false)
                    ? OptionalLong.of(answer.path("header").path("revision").asLong())
                    : OptionalLong.empty());
  }

  private ObjectNode compare(String key, String target) {
    return newObject().put("result", "EQUAL").put("target", target).put("key", encode(key));
  }

  private ObjectNode putRequest(String key, byte[] value, long leaseId) {
    ObjectNode request = newObject();
    request
        .putObject("requestPut")
        .put("key", encode(key))
        .put("value", Base64.getEncoder().encodeToString(value))
        .put("lease", Long.toString(leaseId));
    return request;
  }

  private ObjectNode newObject() {
    return jsonClient.mapper().createObjectNode();
  }

  private static List<KeyValue> readValues(JsonNode values) {
    List<KeyValue> result = new ArrayList<>();
    values.forEach(value -> result.add(readValue(value)));
    return result;
  }

  /** Parses a stored value from the gateway's JSON format. */
  static KeyValue readValue(JsonNode node) {
    Base64.Decoder decoder = Base64.getDecoder();
    return new KeyValue(
        new String(decoder.decode(node.path("key").asText()), StandardCharsets.UTF_8),
        decoder.decode(node.path("value").asText()),
        node.path("create_revision").asLong(),
        node.path("mod_revision").asLong());
  }

  private static String encode(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the exclusive range end of a prefix, which must end in an ASCII character. */
  private static String prefixEnd(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
