package org.coltsfootvale.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.jspecify.annotations.Nullable;

/**
 * Detects engines that have been live for too short a time to take new chats. Each recovery within
 * the flap window doubles the time for which an engine must stay live. Thread-safe.
 */
final class FlapDetector {

  private static final Duration FLAP_WINDOW = Duration.ofMinutes(5);
  private static final int DOUBLINGS_MAX = 5;

  private final Duration stableAfter;
  private final Map<EngineId, History> histories = new ConcurrentHashMap<>();

  FlapDetector(Duration stableAfter) {
    this.stableAfter = stableAfter;
  }

  /** Returns whether a live engine may take new chats. */
  boolean isStable(EngineView engine, Instant now) {
    Instant liveSince = engine.liveSince();
    if (liveSince == null) {
      return true;
    }
    History history =
        histories.compute(engine.id(), (id, previous) -> History.next(previous, liveSince));
    Duration required = stableAfter.multipliedBy(1L << history.recoveries());
    return Duration.between(liveSince, now).compareTo(required) >= 0;
  }

  /** Removes the history of all engines except the given ones. */
  void retain(Collection<EngineId> engines) {
    histories.keySet().retainAll(engines);
  }

  private record History(Instant liveSince, int recoveries) {

    static History next(@Nullable History previous, Instant liveSince) {
      if (previous == null) {
        return new History(liveSince, 0);
      }
      if (previous.liveSince.equals(liveSince)) {
        return previous;
      }
      boolean recent = Duration.between(previous.liveSince, liveSince).compareTo(FLAP_WINDOW) < 0;
      int recoveries = recent ? Math.min(DOUBLINGS_MAX, previous.recoveries + 1) : 0;
      return new History(liveSince, recoveries);
    }
  }
}
