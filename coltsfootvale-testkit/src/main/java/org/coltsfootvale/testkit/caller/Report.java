package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Prints the results of a run. */
final class Report {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final double PERCENT = 100;

  private final PrintStream out;
  private final CallerStatistics statistics;
  private final FleetCounts before;
  private final FleetCounts after;

  Report(PrintStream out, CallerStatistics statistics, FleetCounts before, FleetCounts after) {
    this.out = out;
    this.statistics = statistics;
    this.before = before;
    this.after = after;
  }

  /**
   * Prints the report.
   *
   * @param skew the skew of outstanding requests, as text
   * @param keyedOutcomes the final outcome of each keyed request
   * @return the number of violated guarantees
   */
  long print(String skew, Map<String, String> keyedOutcomes) {
    out.printf("%n=== Report over %.1f s ===%n", seconds());
    printOutcomes();
    long violations = printKeyed(keyedOutcomes);
    printReuse();
    printSkew(skew);
    printControl();
    printPlatform();
    printLatencies();
    violations += answerViolations();
    out.printf("%nPromises broken: %d%n", violations);
    return violations;
  }

  private void printOutcomes() {
    out.printf("%nRequests by outcome%n");
    statistics.counts().forEach((key, count) -> out.printf("  %-44s %8d%n", key, count));
  }

  private long printKeyed(Map<String, String> outcomes) {
    long twice = after.serviceRuns().values().stream().filter(runs -> runs > 1).count();
    long falseNotRun = 0;
    long falseDone = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      int runs = after.serviceRuns().getOrDefault(outcome.getKey(), 0);
      falseNotRun += outcome.getValue().equals("not run") && runs > 0 ? 1 : 0;
      falseDone += outcome.getValue().equals("done") && runs != 1 ? 1 : 0;
    }
    out.printf("%nRequests that must not be repeated: %d%n", outcomes.size());
    out.printf("  ran more than once                           %8d%n", twice);
    out.printf("  said not run, but ran                        %8d%n", falseNotRun);
    out.printf("  said done, but did not run once              %8d%n", falseDone);
    return twice + falseNotRun + falseDone;
  }

  private void printReuse() {
    long prompt = after.engineTotal("promptTokens") - before.engineTotal("promptTokens");
    long cached = after.engineTotal("cachedTokens") - before.engineTotal("cachedTokens");
    long reusable = statistics.reusableTokens();
    out.printf("%nCache reuse%n");
    out.printf("  prompt tokens at the engines                 %8d%n", prompt);
    out.printf("  of them found cached                         %8d%n", cached);
    out.printf("  reusable by returning chats                  %8d%n", reusable);
    out.printf("  reused share of the reusable                 %8s%n", percent(cached, reusable));
    out.printf(
        "  engine runs %d, refused by engines %d, ids run twice %d%n",
        after.engineTotal("accepted") - before.engineTotal("accepted"),
        after.engineTotal("refused") - before.engineTotal("refused"),
        after.repeatedEngineRuns());
  }

  private void printSkew(String skew) {
    List<Long> tokens = after.engineTotalsSince(before, "promptTokens");
    double mean = tokens.stream().mapToLong(Long::longValue).average().orElse(0);
    long max = tokens.stream().mapToLong(Long::longValue).max().orElse(0);
    out.printf("%nSkew (max/mean over engines)%n");
    out.printf("  outstanding requests, %s%n", skew);
    out.printf("  prompt tokens over the whole run: %.2f%n", mean == 0 ? 0 : max / mean);
  }

  private void printControl() {
    out.printf("%nControl traffic by router, bytes a second (sent + received)%n");
    after.routers().forEach(this::printControl);
    if (after.routers().isEmpty()) {
      out.printf("  not known: no router gave its state%n");
    }
  }

  private void printControl(String address, JsonNode state) {
    JsonNode earlier = before.routers().get(address);
    double bytes = controlBytes(state) - (earlier == null ? 0 : controlBytes(earlier));
    out.printf("  %-12s %-24s %10.0f%n", state.path("router").asText(), address, bytes / seconds());
  }

  private static double controlBytes(JsonNode state) {
    JsonNode transport = state.path("transport");
    return transport.path("controlBytesSent").asDouble()
        + transport.path("controlBytesReceived").asDouble();
  }

  private void printPlatform() {
    out.printf("%nPlatform calls by kind%n");
    after
        .platformCalls()
        .forEach(
            (kind, count) -> {
              long calls = count - before.platformCalls().getOrDefault(kind, 0L);
              out.printf("  %-20s %8d  %8.2f a second%n", kind, calls, calls / seconds());
            });
  }

  private void printLatencies() {
    out.printf("%nLatencies in ms%36s%10s%10s%n", "p50", "p95", "count");
    statistics.latencies().forEach(this::printLatency);
  }

  private void printLatency(String name, Histogram micros) {
    out.printf(
        "  %-38s%11.1f%10.1f%10d%n",
        name,
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
        micros.getTotalCount());
  }

  private long answerViolations() {
    long violations = 0;
    for (Map.Entry<String, Long> count : statistics.counts().entrySet()) {
      String outcome = count.getKey();
      boolean silent = outcome.endsWith(" wrong") || outcome.endsWith(" truncated");
      violations += silent || outcome.endsWith(" wrong answer") ? count.getValue() : 0;
    }
    return violations;
  }

  private double seconds() {
    return (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
  }

  private static String percent(long part, long total) {
    return total == 0 ? "n/a" : "%.1f%%".formatted(PERCENT * part / total);
  }
}
