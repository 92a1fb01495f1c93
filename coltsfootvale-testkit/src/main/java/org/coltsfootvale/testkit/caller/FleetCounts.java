package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A snapshot of the counts of all programs of the fleet.
 *
 * @param atNanos the time of the snapshot
 * @param engines the counts of each engine that answered, by address
 * @param serviceRuns the number of runs of each key at the plain services
 * @param platformCalls the calls to the platform by kind
 * @param routers the state of each router that answered, by address
 */
record FleetCounts(
    long atNanos,
    Map<String, JsonNode> engines,
    Map<String, Integer> serviceRuns,
    Map<String, Long> platformCalls,
    Map<String, JsonNode> routers) {

  /** Reads the counts of all programs; omits those that do not answer. */
  static FleetCounts read(HttpJson http, Plan.Fleet fleet, Optional<String> operatorToken) {
    Map<String, JsonNode> engines = readAll(http, fleet.engines(), "/counts", Optional.empty());
    Map<String, Integer> runs = new HashMap<>();
    readAll(http, fleet.services(), "/counts", Optional.empty())
        .values()
        .forEach(counts -> addRuns(runs, counts.path("counts")));
    Map<String, Long> calls = new TreeMap<>();
    http.get(fleet.platform() + "/counts", Optional.empty())
        .ifPresent(
            counts ->
                counts
                    .path("calls")
                    .properties()
                    .forEach(call -> calls.put(call.getKey(), call.getValue().asLong())));
    Map<String, JsonNode> routers = readAll(http, fleet.routers(), "/state", operatorToken);
    return new FleetCounts(System.nanoTime(), engines, runs, calls, routers);
  }

  /** Returns the sum of one of the totals over all engines. */
  long engineTotal(String name) {
    return engines.values().stream().mapToLong(counts -> total(counts, name)).sum();
  }

  /** Returns the number of request ids and keys that ran more than once at the engines. */
  long repeatedEngineRuns() {
    long repeated = 0;
    for (JsonNode counts : engines.values()) {
      repeated += countRepeated(counts.path("requests")) + countRepeated(counts.path("keys"));
    }
    return repeated;
  }

  /** Returns the increase of one of the totals of each engine since an earlier snapshot. */
  List<Long> engineTotalsSince(FleetCounts before, String name) {
    List<Long> totals = new ArrayList<>();
    engines.forEach(
        (address, counts) -> {
          JsonNode earlier = before.engines().get(address);
          totals.add(total(counts, name) - (earlier == null ? 0 : total(earlier, name)));
        });
    return totals;
  }

  private static Map<String, JsonNode> readAll(
      HttpJson http, List<String> addresses, String path, Optional<String> token) {
    Map<String, JsonNode> answers = new TreeMap<>();
    for (String address : addresses) {
      http.get(address + path, token).ifPresent(answer -> answers.put(address, answer));
    }
    return answers;
  }

  private static void addRuns(Map<String, Integer> runs, JsonNode counts) {
    counts
        .properties()
        .forEach(run -> runs.merge(run.getKey(), run.getValue().asInt(), Integer::sum));
  }

  private static long total(JsonNode counts, String name) {
    return counts.path("totals").path(name).asLong();
  }

  private static long countRepeated(JsonNode counts) {
    long repeated = 0;
    for (JsonNode count : counts) {
      repeated += count.asInt() > 1 ? 1 : 0;
    }
    return repeated;
  }
}
