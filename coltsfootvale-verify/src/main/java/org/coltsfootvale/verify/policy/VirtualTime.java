package org.coltsfootvale.verify.policy;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock with a queue of scheduled actions. Not thread-safe. */
final class VirtualTime implements InstantSource {

  private static final long START_MILLIS = 1_700_000_000_000L;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::sequence));
  private double nowMillis;
  private long sequence;

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return START_MILLIS + (long) nowMillis;
  }

  /** Returns the virtual time in milliseconds since the start. */
  double now() {
    return nowMillis;
  }

  /** Returns the instant at a time in milliseconds since the start. */
  static Instant at(double timeMillis) {
    return Instant.ofEpochMilli(START_MILLIS + (long) timeMillis);
  }

  /** Schedules an action at a time in milliseconds since the start, or now if that has passed. */
  void schedule(double timeMillis, Runnable action) {
    events.add(new Event(Math.max(nowMillis, timeMillis), sequence++, action));
  }

  /** Runs all actions that are due up to a time. */
  void runUntil(double endMillis) {
    while (true) {
      Event next = events.peek();
      if (next == null || next.timeMillis() > endMillis) {
        return;
      }
      events.remove();
      nowMillis = next.timeMillis();
      next.action().run();
    }
  }

  private record Event(double timeMillis, long sequence, Runnable action) {}
}
