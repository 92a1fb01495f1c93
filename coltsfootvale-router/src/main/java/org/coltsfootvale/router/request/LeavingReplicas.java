package org.coltsfootvale.router.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Holds the replicas of plain services that have announced their departure in a refusal or in the
 * platform's host list, so that they receive no further requests. Entries expire. Thread-safe.
 */
public final class LeavingReplicas implements Predicate<String> {

  private static final Duration RETENTION = Duration.ofMinutes(2);
  private static final int REPLICAS_MAX = 10_000;

  private final Cache<String, Boolean> leaving;

  /** Creates an empty set. */
  public LeavingReplicas(InstantSource clock) {
    leaving =
        Caffeine.newBuilder()
            .expireAfterWrite(RETENTION)
            .maximumSize(REPLICAS_MAX)
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.millis()))
            .build();
  }

  /** Records that a replica is leaving. */
  public void add(String replica) {
    leaving.put(replica, true);
  }

  /** Applies the host list's state; a "live" from a lagging list does not override a refusal. */
  public void onListed(String replica, boolean listedLeaving) {
    if (listedLeaving) {
      add(replica);
    }
  }

  /** Returns whether a replica is leaving. */
  @Override
  public boolean test(String replica) {
    return leaving.getIfPresent(replica) != null;
  }
}
