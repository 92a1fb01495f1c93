package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.testkit.support.Json;
import org.jspecify.annotations.Nullable;

/** Counts the runs of each request id and each idempotency key. Thread-safe. */
final class RunCounts {

  private final Map<String, Integer> byRequest = new ConcurrentHashMap<>();
  private final Map<String, Integer> byKey = new ConcurrentHashMap<>();

  void add(String requestId, @Nullable String key) {
    byRequest.merge(requestId, 1, Integer::sum);
    if (key != null) {
      byKey.merge(key, 1, Integer::sum);
    }
  }

  int requestRuns(String requestId) {
    return byRequest.getOrDefault(requestId, 0);
  }

  int keyRuns(String key) {
    return byKey.getOrDefault(key, 0);
  }

  ObjectNode toJson() {
    ObjectNode node = Json.object();
    ObjectNode requests = node.putObject("requests");
    byRequest.forEach(requests::put);
    ObjectNode keys = node.putObject("keys");
    byKey.forEach(keys::put);
    return node;
  }
}
