package org.coltsfootvale.router.control;

import java.time.Duration;

/**
 * A part of the control traffic that is driven at an interval.
 *
 * @param name names it in the failure counter
 * @param interval the time from the end of a run to the start of the next
 * @param action what is run
 * @param onStop what is run once when the process stops
 */
public record ControlLoop(String name, Duration interval, Runnable action, Runnable onStop) {

  /** Returns a loop that has nothing to release when the process stops. */
  public static ControlLoop of(String name, Duration interval, Runnable action) {
    return new ControlLoop(name, interval, action, () -> {});
  }
}
