package org.coltsfootvale.router.logging;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.support.TokenBucket;

/** Limits the log lines of each event by a token bucket and counts suppressed ones. Thread-safe. */
final class EventRateLimiter {

  /** Lines per second and event: a router on one core serves some hundred requests per second. */
  private static final double LINES_PER_SECOND = 300;

  /** State changes arrive in bursts while a fleet starts; they are few otherwise. */
  private static final double BURST_LINES = 600;

  private final LongSupplier nanoTime;
  private final Map<DecisionEvent, Bucket> buckets = new EnumMap<>(DecisionEvent.class);

  EventRateLimiter(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    long now = nowMillis();
    for (DecisionEvent event : DecisionEvent.values()) {
      buckets.put(event, new Bucket(now));
    }
  }

  /** Returns whether a line of an event may be written now; otherwise counts it as suppressed. */
  boolean tryAcquire(DecisionEvent event) {
    Bucket bucket = buckets.get(event);
    return bucket != null && bucket.tryAcquire(nowMillis());
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong());
  }

  /** Returns the number of lines suppressed since the last call, by event name. */
  Map<String, Object> drainSuppressed() {
    Map<String, Object> counts = new LinkedHashMap<>();
    buckets.forEach(
        (event, bucket) -> {
          long suppressed = bucket.drainSuppressed();
          if (suppressed > 0) {
            counts.put(event.wireName(), suppressed);
          }
        });
    return counts;
  }

  /** The token bucket and the suppression count of one event. */
  private static final class Bucket {

    private final TokenBucket lines;
    private long suppressed;

    Bucket(long nowMillis) {
      lines = new TokenBucket(LINES_PER_SECOND, BURST_LINES, nowMillis);
    }

    synchronized boolean tryAcquire(long nowMillis) {
      lines.refill(LINES_PER_SECOND, BURST_LINES, nowMillis);
      if (lines.secondsUntil(1) > 0) {
        suppressed++;
        return false;
      }
      lines.take(1);
      return true;
    }

    synchronized long drainSuppressed() {
      long drained = suppressed;
      suppressed = 0;
      return drained;
    }
  }
}
