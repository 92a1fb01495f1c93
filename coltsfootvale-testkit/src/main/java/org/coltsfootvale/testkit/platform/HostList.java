package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.coltsfootvale.testkit.support.Json;

/** The list of live and leaving hosts, whose changes become visible after a lag. Thread-safe. */
final class HostList {

  private static final String GONE = "gone";

  private final InstantSource clock;
  private final long lagMillis;
  private final Object lock = new Object();
  private final NavigableMap<Instant, Map<String, JsonNode>> versions = new TreeMap<>();

  HostList(InstantSource clock, long lagMillis) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    versions.put(Instant.EPOCH, Map.of());
  }

  /**
   * Adds or replaces hosts by id; a host whose state is {@code gone} is removed.
   *
   * @param immediate whether the change is visible immediately instead of after the lag
   */
  void update(JsonNode hosts, boolean immediate) {
    synchronized (lock) {
      Map<String, JsonNode> next = new LinkedHashMap<>(versions.lastEntry().getValue());
      for (JsonNode host : hosts) {
        String id = host.path("id").asText();
        if (host.path("state").asText().equals(GONE)) {
          next.remove(id);
        } else {
          next.put(id, host);
        }
      }
      Instant now = clock.instant();
      versions.put(immediate ? now.minusMillis(lagMillis) : now, next);
      if (immediate) {
        versions.tailMap(now.minusMillis(lagMillis), false).clear();
      }
    }
  }

  /** Returns the list as it was one lag ago. */
  ObjectNode toJson() {
    synchronized (lock) {
      Instant asOf = clock.instant().minusMillis(lagMillis);
      Map.Entry<Instant, Map<String, JsonNode>> version = versions.floorEntry(asOf);
      ObjectNode answer = Json.object();
      ArrayNode hosts = answer.putArray("hosts");
      if (version != null) {
        versions.headMap(version.getKey(), false).clear();
        version.getValue().values().forEach(hosts::add);
      }
      return answer.put("asOfMillis", asOf.toEpochMilli());
    }
  }
}
