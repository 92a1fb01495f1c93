package org.coltsfootvale.core.registry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.core.store.Scheduler;
import org.coltsfootvale.core.store.StoreException;
import org.coltsfootvale.core.support.Backoff;
import org.coltsfootvale.core.support.Service;

/**
 * Keeps one key of the store alive while this process runs. It grants a lease, writes the key and
 * renews the lease. It starts over when the lease has ended, or when the store was restored from a
 * copy, since the copy may have assigned the lease id to another client. Confined to one thread.
 */
public final class LeasedKeyRenewer implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Backoff RETRY_BACKOFF =
      new Backoff(Duration.ofMillis(200), Duration.ofMillis(1_600));

  /**
   * The time over which the routers of a fleet rewrite their keys after a restore of the store: the
   * grace period of missing entries, less some calls.
   */
  static final Duration RESTORED_SPREAD = Duration.ofMillis(1_500);

  private final RevisionedStore store;
  private final String key;
  private final byte[] value;
  private final Duration timeToLive;
  private final Scheduler scheduler;
  private final DoubleSupplier random;
  private boolean running;
  private long leaseId;
  private long generation;
  private int failuresInRow;

  /**
   * Creates an instance that has not been started.
   *
   * @param store the store
   * @param key the key to write
   * @param value the value of the key
   * @param timeToLive the time to live of the lease; it is renewed three times as often
   * @param scheduler schedules the store calls
   * @param random supplies uniform numbers in [0, 1) that spread the calls
   */
  public LeasedKeyRenewer(
      RevisionedStore store,
      String key,
      byte[] value,
      Duration timeToLive,
      Scheduler scheduler,
      DoubleSupplier random) {
    this.store = store;
    this.key = key;
    this.value = value.clone();
    this.timeToLive = timeToLive;
    this.scheduler = scheduler;
    this.random = random;
    store.era().onNewEra(era -> restart());
  }

  @Override
  public void start() {
    running = true;
    grant();
  }

  @Override
  public void stop() {
    if (!running) {
      return;
    }
    running = false;
    if (leaseId != 0) {
      var unused =
          store
              .endLease(leaseId)
              .exceptionally(
                  failure -> {
                    LOGGER.atInfo().log(
                        "lease of key %s was not revoked and expires by itself: %s",
                        key, Failures.unwrap(failure).getMessage());
                    return null;
                  });
    }
  }

  private void restart() {
    if (running) {
      generation++;
      leaseId = 0;
      long expectedGeneration = generation;
      scheduler.schedule(
          Duration.ofNanos((long) (RESTORED_SPREAD.toNanos() * random.getAsDouble())),
          () -> grant(expectedGeneration));
    }
  }

  private void grant() {
    grant(generation);
  }

  private void grant(long expectedGeneration) {
    if (stale(expectedGeneration)) {
      return;
    }
    leaseId = 0;
    CompletableFuture<Long> granted =
        store
            .grantLease(timeToLive)
            .thenCompose(lease -> store.put(key, value, lease).thenApply(revision -> lease));
    var unused =
        granted.whenComplete(
            (lease, failure) -> {
              if (stale(expectedGeneration)) {
                return;
              }
              if (failure != null) {
                retry(failure, () -> grant(expectedGeneration));
              } else {
                leaseId = lease;
                failuresInRow = 0;
                scheduler.schedule(period(), () -> renew(expectedGeneration));
              }
            });
  }

  private void renew(long expectedGeneration) {
    if (stale(expectedGeneration)) {
      return;
    }
    var unused =
        store
            .renewLease(leaseId)
            .whenComplete(
                (nothing, failure) -> {
                  if (stale(expectedGeneration)) {
                    return;
                  }
                  if (failure == null) {
                    failuresInRow = 0;
                    scheduler.schedule(period(), () -> renew(expectedGeneration));
                  } else if (leaseEnded(failure)) {
                    LOGGER.atInfo().log("lease of key %s has ended; granting a new one", key);
                    grant();
                  } else {
                    retry(failure, () -> renew(expectedGeneration));
                  }
                });
  }

  private boolean stale(long expectedGeneration) {
    return !running || expectedGeneration != generation;
  }

  private void retry(Throwable failure, Runnable retryCall) {
    if (failuresInRow == 0) {
      LOGGER.atWarning().log(
          "lease of key %s could not be granted or renewed; retrying: %s",
          key, Failures.unwrap(failure).getMessage());
    }
    Duration delay = RETRY_BACKOFF.after(failuresInRow);
    failuresInRow++;
    scheduler.schedule(spread(delay), retryCall);
  }

  private Duration period() {
    return spread(timeToLive.dividedBy(3));
  }

  private Duration spread(Duration longest) {
    return Duration.ofNanos((long) (longest.toNanos() * (0.75 + 0.25 * random.getAsDouble())));
  }

  private static boolean leaseEnded(Throwable failure) {
    return Failures.unwrap(failure) instanceof StoreException storeFailure
        && storeFailure.fault() == StoreException.Fault.LEASE_ENDED;
  }
}
