package org.coltsfootvale.router.backend;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.support.Service;
import org.jspecify.annotations.Nullable;

/**
 * Cancels calls that exceed their inactivity time-out or deadline. One thread checks all open calls
 * at a fixed interval, which avoids a timer per chunk.
 */
public final class CallWatchdog implements Service {

  private static final long INTERVAL_MILLIS = 25;

  private final InstantSource clock;
  private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
  private @Nullable ScheduledExecutorService executor;

  /** Creates a watchdog that uses the given clock. */
  public CallWatchdog(InstantSource clock) {
    this.clock = clock;
  }

  @Override
  public synchronized void start() {
    ScheduledExecutorService started =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "call-watchdog");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        started.scheduleWithFixedDelay(
            this::check, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    executor = started;
  }

  @Override
  public synchronized void stop() {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /** Cancels all calls that have exceeded a limit. */
  public void check() {
    long now = clock.millis();
    for (Watch watch : watches) {
      watch.check(now);
    }
  }

  /** Returns the number of watched calls. */
  public int size() {
    return watches.size();
  }

  /**
   * Starts watching a call until the returned watch is closed.
   *
   * @param cancel cancels the call; may run on the watchdog's thread
   * @param deadline the time by which the call must have ended
   * @param inactivityTimeoutMillis the maximum time without {@link Watch#onActivity()}
   */
  Watch watch(Runnable cancel, Instant deadline, long inactivityTimeoutMillis) {
    Watch watch = new Watch(cancel, deadline.toEpochMilli(), inactivityTimeoutMillis);
    watches.add(watch);
    return watch;
  }

  /** The reason for the cancellation of a call. */
  enum Expiry {
    DEADLINE,
    INACTIVITY
  }

  /** One watched call. */
  final class Watch implements AutoCloseable {

    private final Runnable cancel;
    private final long deadlineMillis;
    private volatile long inactivityTimeoutMillis;
    private volatile long lastActivityMillis;
    private volatile @Nullable Expiry expiry;

    private Watch(Runnable cancel, long deadlineMillis, long inactivityTimeoutMillis) {
      this.cancel = cancel;
      this.deadlineMillis = deadlineMillis;
      this.inactivityTimeoutMillis = inactivityTimeoutMillis;
      this.lastActivityMillis = clock.millis();
    }

    /** Restarts the inactivity time-out, since data has arrived. */
    void onActivity() {
      lastActivityMillis = clock.millis();
    }

    /** Suspends the inactivity time-out while the consumer is busy or blocked. */
    void suspend() {
      lastActivityMillis = Long.MAX_VALUE;
    }

    /** Ends {@link #suspend()} and starts a new inactivity time-out. */
    void resume(long newTimeoutMillis) {
      inactivityTimeoutMillis = newTimeoutMillis;
      onActivity();
    }

    /** Returns the reason for the cancellation, or null if the call was not cancelled. */
    @Nullable Expiry expiry() {
      return expiry;
    }

    private void check(long now) {
      if (expiry != null) {
        return;
      }
      if (now >= deadlineMillis) {
        expire(Expiry.DEADLINE);
      } else if (lastActivityMillis <= now - inactivityTimeoutMillis) {
        expire(Expiry.INACTIVITY);
      }
    }

    private void expire(Expiry reason) {
      expiry = reason;
      cancel.run();
    }

    @Override
    public void close() {
      watches.remove(this);
    }
  }
}
