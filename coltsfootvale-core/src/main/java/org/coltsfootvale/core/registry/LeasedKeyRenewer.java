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
 * Keeps one key of the store alive for as long as this process runs: grants a lease, writes the
 * key, renews the lease, and starts over when the lease has ended or the store was restored from a
 * copy, which may have given the number of the lease to somebody else. Confined to one thread.
 */
public final class LeasedKeyRenewer implements Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Backoff PAUSE =
      new Backoff(Duration.ofMillis(200), Duration.ofMillis(1_600));

  /**
   * The time over which a fleet writes its keys anew after a restore of the store: as long as
   * entries that vanished are waited for, less some calls.
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
   * Creates a keeper.
   *
   * @param store the store
   * @param key the key to keep
   * @param value its value
   * @param timeToLive how long the key outlives this process; renewed three times as often
   * @param scheduler runs the next call
   * @param random gives numbers in [0, 1) that spread calls
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
    store.era().onNewEra(era -> startOver());
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
                        "the lease of %s was not ended and lapses by itself: %s",
                        key, Failures.unwrap(failure).getMessage());
                    return null;
                  });
    }
  }

  private void startOver() {
    if (running) {
      generation++;
      leaseId = 0;
      long started = generation;
      scheduler.schedule(
          Duration.ofNanos((long) (RESTORED_SPREAD.toNanos() * random.getAsDouble())),
          () -> grant(started));
    }
  }

  private void grant() {
    grant(generation);
  }

  private void grant(long started) {
    if (stale(started)) {
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
              if (stale(started)) {
                return;
              }
              if (failure != null) {
                retry(failure, () -> grant(started));
              } else {
                leaseId = lease;
                failuresInRow = 0;
                scheduler.schedule(period(), () -> renew(started));
              }
            });
  }

  private void renew(long started) {
    if (stale(started)) {
      return;
    }
    var unused =
        store
            .renewLease(leaseId)
            .whenComplete(
                (nothing, failure) -> {
                  if (stale(started)) {
                    return;
                  }
                  if (failure == null) {
                    failuresInRow = 0;
                    scheduler.schedule(period(), () -> renew(started));
                  } else if (ended(failure)) {
                    LOGGER.atInfo().log("the lease of %s has ended; granting a new one", key);
                    grant();
                  } else {
                    retry(failure, () -> renew(started));
                  }
                });
  }

  private boolean stale(long started) {
    return !running || started != generation;
  }

  private void retry(Throwable failure, Runnable again) {
    if (failuresInRow == 0) {
      LOGGER.atWarning().log(
          "the lease of %s is not renewed: %s", key, Failures.unwrap(failure).getMessage());
    }
    Duration pause = PAUSE.after(failuresInRow);
    failuresInRow++;
    scheduler.schedule(spread(pause), again);
  }

  private Duration period() {
    return spread(timeToLive.dividedBy(3));
  }

  private Duration spread(Duration longest) {
    return Duration.ofNanos((long) (longest.toNanos() * (0.75 + 0.25 * random.getAsDouble())));
  }

  private static boolean ended(Throwable failure) {
    return Failures.unwrap(failure) instanceof StoreException known
        && known.fault() == StoreException.Fault.LEASE_ENDED;
  }
}
