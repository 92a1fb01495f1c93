package org.coltsfootvale.router.control;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.support.Service;
import org.jspecify.annotations.Nullable;

/** Runs an action periodically; failures are counted and do not cancel later runs. */
public final class PeriodicTask implements Service {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledExecutorService executor;
  private final Duration interval;
  private final Runnable action;
  private final String name;
  private final Counter failures;
  private @Nullable ScheduledFuture<?> schedule;

  /**
   * Creates a task that is not started.
   *
   * @param name the value of the task tag of the failure counter
   * @param interval the delay between the end of a run and the start of the next
   */
  public PeriodicTask(
      ScheduledExecutorService executor,
      MeterRegistry meters,
      String name,
      Duration interval,
      Runnable action) {
    this.executor = executor;
    this.interval = interval;
    this.action = action;
    this.name = name;
    this.failures = meters.counter("coltsfootvale.control.task.failures", "task", name);
  }

  @Override
  public synchronized void start() {
    if (schedule == null) {
      schedule =
          executor.scheduleWithFixedDelay(
              this::runOnce, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  @Override
  public synchronized void stop() {
    if (schedule != null) {
      schedule.cancel(false);
      schedule = null;
    }
  }

  private void runOnce() {
    try {
      action.run();
    } catch (RuntimeException e) {
      if (failures.count() == 0) {
        logger.atWarning().withCause(e).log(
            "control task %s failed; further failures are only counted", name);
      }
      failures.increment();
    }
  }
}
