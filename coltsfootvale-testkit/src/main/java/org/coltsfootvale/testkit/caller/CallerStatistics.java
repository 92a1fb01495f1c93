package org.coltsfootvale.testkit.caller;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** The outcomes and latencies seen by the callers. Thread-safe. */
final class CallerStatistics {

  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final Map<String, Histogram> latencies = new ConcurrentHashMap<>();
  private final LongAdder reusableTokens = new LongAdder();

  /** Counts a request of a kind by its outcome. */
  void count(String kind, String outcome) {
    counts.computeIfAbsent(kind + " " + outcome, key -> new LongAdder()).increment();
  }

  /** Records a latency in nanoseconds. */
  void record(String name, long nanos) {
    latencies
        .computeIfAbsent(name, key -> new ConcurrentHistogram(HIGHEST_MICROS, DIGITS))
        .recordValue(Math.min(HIGHEST_MICROS, nanos / 1_000));
  }

  /** Adds prompt tokens that an earlier turn of the same chat has already computed. */
  void addReusable(long tokens) {
    reusableTokens.add(tokens);
  }

  long reusableTokens() {
    return reusableTokens.sum();
  }

  long count(String key) {
    LongAdder count = counts.get(key);
    return count == null ? 0 : count.sum();
  }

  Map<String, Long> counts() {
    Map<String, Long> sorted = new TreeMap<>();
    counts.forEach((key, count) -> sorted.put(key, count.sum()));
    return sorted;
  }

  Map<String, Histogram> latencies() {
    return new TreeMap<>(latencies);
  }
}
