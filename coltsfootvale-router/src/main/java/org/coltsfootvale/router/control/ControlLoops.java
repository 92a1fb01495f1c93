package org.coltsfootvale.router.control;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.coltsfootvale.core.support.Service;

/** Schedules the control loops at their intervals. */
public final class ControlLoops implements Service {

  private final List<ControlLoop> loops;
  private final List<PeriodicTask> tasks;

  /** Creates the loops without starting them. */
  public ControlLoops(
      ScheduledExecutorService executor, MeterRegistry meters, Collection<ControlLoop> loops) {
    this.loops = List.copyOf(loops);
    this.tasks =
        loops.stream()
            .map(
                loop ->
                    new PeriodicTask(executor, meters, loop.name(), loop.interval(), loop.action()))
            .toList();
  }

  @Override
  public void start() {
    tasks.forEach(PeriodicTask::start);
  }

  @Override
  public void stop() {
    tasks.forEach(PeriodicTask::stop);
    loops.forEach(loop -> loop.onStop().run());
  }
}
