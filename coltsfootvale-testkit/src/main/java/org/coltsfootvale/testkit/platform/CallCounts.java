package org.coltsfootvale.testkit.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.coltsfootvale.testkit.support.Json;

/** Counts the calls to the platform by kind. Thread-safe. */
final class CallCounts {

  private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

  void add(String kind) {
    counts.computeIfAbsent(kind, key -> new LongAdder()).increment();
  }

  ObjectNode toJson() {
    ObjectNode node = Json.object();
    counts.forEach((kind, count) -> node.put(kind, count.sum()));
    return node;
  }
}
