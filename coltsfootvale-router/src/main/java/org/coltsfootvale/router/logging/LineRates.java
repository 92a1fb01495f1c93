package org.coltsfootvale.router.logging;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionEvent;

/** Bounds the lines of each event by a token bucket and counts what is suppressed. Thread-safe. */
final class LineRates {

  /** Lines of an event a second: a router of one core serves some hundred requests a second. */
  private static final double LINES_PER_SECOND = 300;

  /** Changes come in bursts when a fleet starts; they are few otherwise. */
  private static final double BURST_LINES = 600;

  private static final double NANOS_PER_SECOND = 1e9;

  private final LongSupplier nanoTime;
  private final Map<DecisionEvent, Bucket> buckets = new EnumMap<>(DecisionEvent.class);

  LineRates(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    long now = nanoTime.getAsLong();
    for (DecisionEvent event : DecisionEvent.values()) {
      buckets.put(event, new Bucket(now));
    }
  }

  /** Returns whether a line of an event may be written now; counts it as suppressed if not. */
  boolean allows(DecisionEvent event) {
    Bucket bucket = buckets.get(event);
    return bucket != null && bucket.take(nanoTime.getAsLong());
  }

  /** Returns the lines that were suppressed since the last call, by event. */
  Map<String, Object> takeSuppressed() {
    Map<String, Object> counts = new LinkedHashMap<>();
    buckets.forEach(
        (event, bucket) -> {
          long suppressed = bucket.takeSuppressed();
          if (suppressed > 0) {
            counts.put(event.wireName(), suppressed);
          }
        });
    return counts;
  }

  private static final class Bucket {

    private double tokens = BURST_LINES;
    private long filledNanos;
    private long suppressed;

    Bucket(long nowNanos) {
      filledNanos = nowNanos;
    }

    synchronized boolean take(long nowNanos) {
      double seconds = (nowNanos - filledNanos) / NANOS_PER_SECOND;
      tokens = Math.min(BURST_LINES, tokens + seconds * LINES_PER_SECOND);
      filledNanos = nowNanos;
      if (tokens < 1) {
        suppressed++;
        return false;
      }
      tokens--;
      return true;
    }

    synchronized long takeSuppressed() {
      long taken = suppressed;
      suppressed = 0;
      return taken;
    }
  }
}
