package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.coltsfootvale.testkit.support.Json;

/** Executes the calls of the key-value service, with requests and answers in JSON. */
final class StoreCalls {

  private static final int VALUE_BYTES_MAX = 1 << 20;

  private final Store store;

  StoreCalls(Store store) {
    this.store = store;
  }

  /** Returns a key or a range of keys. */
  ObjectNode range(JsonNode request) {
    return store.atomically(
        () -> {
          ObjectNode answer = StoreJson.answer(store.revision());
          List<Entry> found = find(request);
          StoreJson.putEntries(answer, found, StoreJson.number(request.path("limit")));
          return answer;
        });
  }

  /** Writes a key. */
  ObjectNode put(JsonNode request) {
    byte[] value = StoreJson.bytes(request.path("value"));
    if (value.length > VALUE_BYTES_MAX) {
      throw new IllegalArgumentException("etcdserver: request is too large");
    }
    String key = StoreJson.key(request.path("key"));
    return store.atomically(
        () -> {
          store.put(key, value, StoreJson.number(request.path("lease")));
          return StoreJson.answer(store.revision());
        });
  }

  /** Deletes a key or a range of keys. */
  ObjectNode deleteRange(JsonNode request) {
    return store.atomically(
        () -> {
          String key = StoreJson.key(request.path("key"));
          int deleted = store.delete(key, rangeEnd(request, key));
          ObjectNode answer = StoreJson.answer(store.revision());
          return answer.put("deleted", Integer.toString(deleted));
        });
  }

  /** Executes one of two lists of operations atomically, depending on the comparisons. */
  ObjectNode transaction(JsonNode request) {
    return store.atomically(
        () -> {
          boolean succeeded = true;
          for (JsonNode compare : request.path("compare")) {
            succeeded &= matches(compare);
          }
          ArrayNode responses = Json.object().putArray("responses");
          for (JsonNode operation : request.path(succeeded ? "success" : "failure")) {
            responses.add(execute(operation));
          }
          ObjectNode answer = StoreJson.answer(store.revision());
          if (succeeded) {
            answer.put("succeeded", true);
          }
          answer.set("responses", responses);
          return answer;
        });
  }

  /** Grants a lease. */
  ObjectNode grantLease(JsonNode request) {
    long seconds = Math.max(1, StoreJson.number(request.path("TTL")));
    long id = store.grant(seconds, StoreJson.number(request.path("ID")));
    return StoreJson.answer(store.revision())
        .put("ID", Long.toString(id))
        .put("TTL", Long.toString(seconds));
  }

  /** Renews a lease; the answer has no time to live if the lease has expired. */
  ObjectNode keepLeaseAlive(JsonNode request) {
    long id = StoreJson.number(request.path("ID"));
    long seconds = store.keepAlive(id);
    ObjectNode result = StoreJson.answer(store.revision()).put("ID", Long.toString(id));
    if (seconds > 0) {
      result.put("TTL", Long.toString(seconds));
    }
    ObjectNode answer = Json.object();
    answer.set("result", result);
    return answer;
  }

  /** Revokes a lease. */
  ObjectNode revokeLease(JsonNode request) {
    store.revoke(StoreJson.number(request.path("ID")));
    return StoreJson.answer(store.revision());
  }

  private ObjectNode execute(JsonNode operation) {
    JsonNode put = StoreJson.field(operation, "request_put", "requestPut");
    JsonNode range = StoreJson.field(operation, "request_range", "requestRange");
    JsonNode delete = StoreJson.field(operation, "request_delete_range", "requestDeleteRange");
    ObjectNode response = Json.object();
    if (put.isObject()) {
      response.set("response_put", put(put));
    } else if (range.isObject()) {
      response.set("response_range", range(range));
    } else if (delete.isObject()) {
      response.set("response_delete_range", deleteRange(delete));
    } else {
      throw new IllegalArgumentException("etcdserver: unknown operation in a transaction");
    }
    return response;
  }

  private boolean matches(JsonNode compare) {
    Optional<Entry> entry = store.get(StoreJson.key(compare.path("key")));
    String target = compare.path("target").asText("VERSION").toUpperCase(Locale.ROOT);
    int order =
        switch (target) {
          case "CREATE" ->
              Long.compare(
                  entry.map(Entry::createRevision).orElse(0L),
                  StoreJson.number(StoreJson.field(compare, "create_revision", "createRevision")));
          case "MOD" ->
              Long.compare(
                  entry.map(Entry::modRevision).orElse(0L),
                  StoreJson.number(StoreJson.field(compare, "mod_revision", "modRevision")));
          case "VERSION" ->
              Long.compare(
                  entry.map(Entry::version).orElse(0L), StoreJson.number(compare.path("version")));
          case "VALUE" ->
              Arrays.compareUnsigned(
                  entry.map(Entry::value).orElse(new byte[0]),
                  StoreJson.bytes(compare.path("value")));
          default ->
              throw new IllegalArgumentException("unknown target of a comparison: " + target);
        };
    return switch (compare.path("result").asText("EQUAL").toUpperCase(Locale.ROOT)) {
      case "EQUAL" -> order == 0;
      case "GREATER" -> order > 0;
      case "LESS" -> order < 0;
      case "NOT_EQUAL" -> order != 0;
      default -> throw new IllegalArgumentException("unknown result of a comparison");
    };
  }

  private List<Entry> find(JsonNode request) {
    String key = StoreJson.key(request.path("key"));
    return store.range(key, rangeEnd(request, key));
  }

  /** Returns the end of the requested range; for a single key, the position right after it. */
  static String rangeEnd(JsonNode request, String key) {
    byte[] end = StoreJson.bytes(StoreJson.field(request, "range_end", "rangeEnd"));
    return end.length == 0 ? key + "\0" : new String(end, StandardCharsets.ISO_8859_1);
  }
}
