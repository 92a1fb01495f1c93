package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;

/**
 * Samples how unevenly outstanding requests are distributed over the engines. Samples with a mean
 * below four requests an engine are recorded separately, since a single request determines their
 * skew.
 */
final class SkewSampler {

  private static final double MEAN_REQUESTS_MIN = 4;
  private static final int SCALE = 1_000;
  private static final int DIGITS = 3;

  private final HttpJson http;
  private final List<String> engines;
  private final Histogram busy = new Histogram(DIGITS);
  private final Histogram quiet = new Histogram(DIGITS);

  SkewSampler(HttpJson http, List<String> engines) {
    this.http = http;
    this.engines = engines;
  }

  /** Takes a sample. */
  void sample() {
    List<Long> outstanding = new ArrayList<>();
    for (String engine : engines) {
      Optional<JsonNode> load = http.get(engine + "/load", Optional.empty());
      load.ifPresent(report -> outstanding.add(report.path("outstandingRequests").asLong()));
    }
    add(outstanding);
  }

  private synchronized void add(List<Long> outstanding) {
    double mean = outstanding.stream().mapToLong(Long::longValue).average().orElse(0);
    if (mean > 0) {
      double skew = outstanding.stream().flatMapToLong(LongStream::of).max().orElse(0) / mean;
      (mean >= MEAN_REQUESTS_MIN ? busy : quiet).recordValue(Math.round(skew * SCALE));
    }
  }

  /** Returns a summary for the report. */
  synchronized String describe() {
    return "busy samples: %s; quiet samples: %s".formatted(describe(busy), describe(quiet));
  }

  private static String describe(Histogram skews) {
    if (skews.getTotalCount() == 0) {
      return "none";
    }
    return "p50 %.2f, p99 %.2f (%d)"
        .formatted(
            skews.getValueAtPercentile(50) / (double) SCALE,
            skews.getValueAtPercentile(99) / (double) SCALE,
            skews.getTotalCount());
  }
}
