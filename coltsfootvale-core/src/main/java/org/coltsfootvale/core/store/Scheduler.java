package org.coltsfootvale.core.store;

import java.time.Duration;

/** Runs tasks later, on the thread that the calling part is confined to. */
@FunctionalInterface
public interface Scheduler {

  /** Runs a task once after a delay. */
  void schedule(Duration delay, Runnable task);
}
