package org.coltsfootvale.router.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Remembers for a while which replicas of plain services are leaving, by their own refusal or by
 * the platform's host list, so that they receive no more requests. Thread-safe.
 */
public final class LeavingReplicas implements Predicate<String> {

  private static final Duration REMEMBERED_FOR = Duration.ofMinutes(2);
  private static final int REPLICAS_MAX = 10_000;

  private final Cache<String, Boolean> leaving;

  /** Creates an empty memory. */
  public LeavingReplicas(InstantSource clock) {
    leaving =
        Caffeine.newBuilder()
            .expireAfterWrite(REMEMBERED_FOR)
            .maximumSize(REPLICAS_MAX)
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.millis()))
            .build();
  }

  /** Records that a replica is leaving. */
  public void add(String replica) {
    leaving.put(replica, true);
  }

  /** Takes what the host list says of a replica; a lagging "live" does not outweigh a refusal. */
  public void onListed(String replica, boolean listedLeaving) {
    if (listedLeaving) {
      add(replica);
    }
  }

  /** Tells whether a replica is known to be leaving. */
  @Override
  public boolean test(String replica) {
    return leaving.getIfPresent(replica) != null;
  }
}
