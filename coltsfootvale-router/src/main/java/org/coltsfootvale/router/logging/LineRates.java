package org.coltsfootvale.router.logging;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.support.TokenBucket;

/** Bounds the lines of each event by a token bucket and counts what is suppressed. Thread-safe. */
final class LineRates {

  /** Lines of an event a second: a router of one core serves some hundred requests a second. */
  private static final double LINES_PER_SECOND = 300;

  /** Changes come in bursts when a fleet starts; they are few otherwise. */
  private static final double BURST_LINES = 600;

  private final LongSupplier nanoTime;
  private final Map<DecisionEvent, Bucket> buckets = new EnumMap<>(DecisionEvent.class);

  LineRates(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    long now = nowMillis();
    for (DecisionEvent event : DecisionEvent.values()) {
      buckets.put(event, new Bucket(now));
    }
  }

  /** Returns whether a line of an event may be written now; counts it as suppressed if not. */
  boolean allows(DecisionEvent event) {
    Bucket bucket = buckets.get(event);
    return bucket != null && bucket.take(nowMillis());
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong());
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

  /** The bucket of one event. */
  private static final class Bucket {

    private final TokenBucket lines;
    private long suppressed;

    Bucket(long nowMillis) {
      lines = new TokenBucket(LINES_PER_SECOND, BURST_LINES, nowMillis);
    }

    synchronized boolean take(long nowMillis) {
      lines.refill(LINES_PER_SECOND, BURST_LINES, nowMillis);
      if (lines.secondsUntil(1) > 0) {
        suppressed++;
        return false;
      }
      lines.take(1);
      return true;
    }

    synchronized long takeSuppressed() {
      long taken = suppressed;
      suppressed = 0;
      return taken;
    }
  }
}
