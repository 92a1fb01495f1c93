package org.coltsfootvale.core.store;

import java.time.Duration;

/** Runs delayed tasks on the thread that the caller is confined to. */
@FunctionalInterface
public interface Scheduler {

  /** Runs a task once after a delay. */
  void schedule(Duration delay, Runnable task);
}
