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
 * Tells engines that have been live for long enough from those that have just become live. Each
 * return within the memory period doubles the time an engine must stay live. Thread-safe.
 */
final class FlapDetector {

  private static final Duration MEMORY = Duration.ofMinutes(5);
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
    History history = histories.compute(engine.id(), (id, known) -> History.next(known, liveSince));
    Duration required = stableAfter.multipliedBy(1L << history.returns());
    return Duration.between(liveSince, now).compareTo(required) >= 0;
  }

  /** Forgets the engines that are not among those given. */
  void retain(Collection<EngineId> engines) {
    histories.keySet().retainAll(engines);
  }

  private record History(Instant liveSince, int returns) {

    static History next(@Nullable History known, Instant liveSince) {
      if (known == null) {
        return new History(liveSince, 0);
      }
      if (known.liveSince.equals(liveSince)) {
        return known;
      }
      boolean recent = Duration.between(known.liveSince, liveSince).compareTo(MEMORY) < 0;
      int returns = recent ? Math.min(DOUBLINGS_MAX, known.returns + 1) : 0;
      return new History(liveSince, returns);
    }
  }
}
