package org.coltsfootvale.verify.slopes;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock that advances from one scheduled event to the next. Not thread-safe. */
public final class VirtualTime implements InstantSource {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private Instant now = Instant.ofEpochSecond(1_800_000_000L);
  private long lastNumber;

  @Override
  public Instant instant() {
    return now;
  }

  /** Schedules an action after a delay. */
  public void schedule(Duration delay, Runnable action) {
    lastNumber++;
    events.add(new Event(now.plus(delay), lastNumber, action));
  }

  /** Schedules an action that repeats indefinitely. */
  public void repeat(Duration firstDelay, Duration period, Runnable action) {
    schedule(
        firstDelay,
        () -> {
          action.run();
          repeat(period, period, action);
        });
  }

  /** Advances the clock by a period and runs all events that fall due. */
  public void advance(Duration period) {
    Instant end = now.plus(period);
    while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  private record Event(Instant at, long number, Runnable action) {}
}
