package org.coltsfootvale.router.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;

/** Counts decisions and measures request latencies. Thread-safe. */
public final class DecisionMetrics implements DecisionLog {

  private static final long LATENCY_MAX_MILLIS = TimeUnit.MINUTES.toMillis(10);
  private static final int LATENCY_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double PER_CENT = 100.0;

  /** Further services share one label value, which bounds the number of time series. */
  private static final int SERVICES_MAX = 50;

  private static final String OTHER_SERVICES = "other";

  private final Map<DecisionEvent, LongAdder> counts = new ConcurrentHashMap<>();
  private final Map<Key, LongAdder> requests = new ConcurrentHashMap<>();
  private final Map<Key, LongAdder> failedAttempts = new ConcurrentHashMap<>();
  private final Map<Key, Histogram> latencies = new ConcurrentHashMap<>();
  private final Map<String, String> labelledServices = new ConcurrentHashMap<>();

  /** Creates metrics without counts. */
  public DecisionMetrics() {}

  @Override
  public void record(Decision decision) {
    increment(counts, decision.event());
    Map<String, Object> fields = decision.fields();
    if (!(fields.get("service") instanceof String service) || !fields.containsKey("request")) {
      return;
    }
    if (decision.event() == DecisionEvent.ATTEMPT_FAILED) {
      increment(failedAttempts, new Key(serviceLabel(service), String.valueOf(fields.get("next"))));
    }
    if (fields.get("total_millis") instanceof Long totalMillis) {
      Key key = new Key(serviceLabel(service), outcome(decision));
      increment(requests, key);
      latencies
          .computeIfAbsent(
              key, absentKey -> new SynchronizedHistogram(LATENCY_MAX_MILLIS, LATENCY_DIGITS))
          .recordValue(Math.min(Math.max(0, totalMillis), LATENCY_MAX_MILLIS));
    }
  }

  private static String outcome(Decision decision) {
    Object reason = decision.fields().get("reason");
    String event = decision.event().name().toLowerCase(Locale.ROOT);
    String outcome = event.substring("request_".length());
    return reason == null ? outcome : outcome + "_" + reason.toString().toLowerCase(Locale.ROOT);
  }

  private String serviceLabel(String service) {
    if (labelledServices.size() >= SERVICES_MAX && !labelledServices.containsKey(service)) {
      return OTHER_SERVICES;
    }
    return labelledServices.computeIfAbsent(service, name -> name);
  }

  private static <K> void increment(Map<K, LongAdder> counters, K key) {
    counters.computeIfAbsent(key, absentKey -> new LongAdder()).increment();
  }

  /** Registers all counts and latencies. */
  void bindTo(MeterRegistry registry) {
    counts.forEach(
        (event, count) ->
            registerCounter(
                registry, "coltsfootvale.decisions", Tags.of("event", event.wireName()), count));
    requests.forEach(
        (key, count) ->
            registerCounter(registry, "coltsfootvale.requests", key.tags("outcome"), count));
    failedAttempts.forEach(
        (key, count) ->
            registerCounter(registry, "coltsfootvale.attempts.failed", key.tags("next"), count));
    latencies.forEach((key, latency) -> registerLatency(registry, key, latency));
  }

  private static void registerLatency(MeterRegistry registry, Key key, Histogram latency) {
    for (double quantile : QUANTILES) {
      Gauge.builder(
              "coltsfootvale.request.seconds",
              latency,
              histogram -> histogram.getValueAtPercentile(quantile * PER_CENT) / MILLIS_PER_SECOND)
          .tags(key.tags("outcome").and("quantile", Double.toString(quantile)))
          .strongReference(true)
          .register(registry);
    }
  }

  private static void registerCounter(
      MeterRegistry registry, String name, Tags tags, LongAdder count) {
    FunctionCounter.builder(name, count, LongAdder::doubleValue).tags(tags).register(registry);
  }

  /** A service and the result of a request or an attempt. */
  private record Key(String service, String result) {

    Tags tags(String resultName) {
      return Tags.of("service", service, resultName, result);
    }
  }
}
