package org.coltsfootvale.router.control;

import java.time.Duration;

/**
 * A control action that runs periodically.
 *
 * @param name the value of the task tag of the failure counter
 * @param interval the delay between the end of a run and the start of the next
 * @param action the action of each run
 * @param onStop the action that runs once when the process stops
 */
public record ControlLoop(String name, Duration interval, Runnable action, Runnable onStop) {

  /** Returns a loop without an action at the stop of the process. */
  public static ControlLoop of(String name, Duration interval, Runnable action) {
    return new ControlLoop(name, interval, action, () -> {});
  }
}
