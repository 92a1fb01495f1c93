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
 * Cancels calls that have been silent for too long or have passed their deadline. One thread looks
 * at all open calls at a fixed interval, so that a chunk costs no timer.
 */
public final class CallWatchdog implements Service {

  private static final long INTERVAL_MILLIS = 25;

  private final InstantSource clock;
  private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
  private @Nullable ScheduledExecutorService executor;

  /** Creates a watchdog that reads the given clock. */
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

  /** Cancels all calls whose time is over. */
  public void check() {
    long now = clock.millis();
    for (Watch watch : watches) {
      watch.check(now);
    }
  }

  /** Returns how many calls are watched. */
  public int size() {
    return watches.size();
  }

  /**
   * Begins to watch a call.
   *
   * @param cancel ends the call; may be called from the watchdog's thread
   * @param deadline the time by which the call must have ended
   * @param silenceMillis the longest time without {@link Watch#activity()}
   */
  Watch watch(Runnable cancel, Instant deadline, long silenceMillis) {
    Watch watch = new Watch(cancel, deadline.toEpochMilli(), silenceMillis);
    watches.add(watch);
    return watch;
  }

  /** Why a call was cancelled. */
  enum Expiry {
    DEADLINE,
    SILENCE
  }

  /** One watched call. */
  final class Watch implements AutoCloseable {

    private final Runnable cancel;
    private final long deadlineMillis;
    private volatile long silenceMillis;
    private volatile long lastActivityMillis;
    private volatile @Nullable Expiry expiry;

    private Watch(Runnable cancel, long deadlineMillis, long silenceMillis) {
      this.cancel = cancel;
      this.deadlineMillis = deadlineMillis;
      this.silenceMillis = silenceMillis;
      this.lastActivityMillis = clock.millis();
    }

    /** Records that something has arrived. */
    void activity() {
      lastActivityMillis = clock.millis();
    }

    /** Suspends the limit of silence, while the reader itself is busy or held back. */
    void hold() {
      lastActivityMillis = Long.MAX_VALUE;
    }

    /** Ends {@link #hold()} with a limit of silence that holds from now on. */
    void release(long newSilenceMillis) {
      silenceMillis = newSilenceMillis;
      activity();
    }

    /** Returns why the call was cancelled, or null if it was not. */
    @Nullable Expiry expiry() {
      return expiry;
    }

    private void check(long now) {
      if (expiry != null) {
        return;
      }
      if (now >= deadlineMillis) {
        expire(Expiry.DEADLINE);
      } else if (lastActivityMillis <= now - silenceMillis) {
        expire(Expiry.SILENCE);
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
