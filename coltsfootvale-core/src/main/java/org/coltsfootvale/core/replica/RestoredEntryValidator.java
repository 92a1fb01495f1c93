package org.coltsfootvale.core.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Judges the entries of a store that was restored from a copy by what was known before: a replica
 * that has departed since the copy was taken must not come back by it. Confined to one thread.
 */
final class RestoredEntryValidator {

  /** What an entry of a restored store is worth. */
  enum Verdict {
    /** Nothing speaks against it. */
    VALID,
    /** The replica has announced its departure, which is never taken back. */
    LEAVING,
    /** The replica had vanished; it counts again once the entry has outlived a dead server's. */
    UNPROVEN,
    /** The replica has been started again since. */
    SUPERSEDED
  }

  /** How long an entry in the store outlives a server that is gone, at most. */
  static final Duration ENTRY_LIFE_MAX = Duration.ofSeconds(8);

  /** The departures that are remembered; the earliest yields. */
  private static final int DEPARTURES_MAX = 4_096;

  private final LongSupplier nanoTime;
  private final LongSupplier era;
  private final Map<String, Unproven> unproven = new HashMap<>();
  private final Map<String, Departure> departures =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Departure> eldest) {
          return size() > DEPARTURES_MAX;
        }
      };

  RestoredEntryValidator(LongSupplier nanoTime, LongSupplier era) {
    this.nanoTime = nanoTime;
    this.era = era;
  }

  /** Takes note that a replica has departed. */
  void departed(Replica replica, boolean announced) {
    remember(new Departure(replica.id(), replica.startedMillis(), announced, era.getAsLong()));
  }

  /** Takes another router's word of a departure, unless a later start is known to have departed. */
  void remember(Departure departure) {
    Departure known = departures.get(departure.id());
    boolean later =
        known == null
            || known.startedMillis() < departure.startedMillis()
            || (known.startedMillis() == departure.startedMillis() && !known.announced());
    if (later) {
      departures.remove(departure.id());
      departures.put(departure.id(), departure);
    }
  }

  /** Returns the departures that are remembered. */
  List<Departure> departures() {
    return List.copyOf(departures.values());
  }

  /** Takes note that a replica has written its entry itself; returns whether it is leaving. */
  boolean written(Replica replica) {
    unproven.remove(replica.id());
    Departure departure = departures.get(replica.id());
    if (departure == null || !departure.matches(replica)) {
      return false;
    }
    if (!departure.announced()) {
      departures.remove(replica.id());
    }
    return departure.announced();
  }

  /** Takes note that an entry is not in the store any more. */
  void removed(String id) {
    unproven.remove(id);
  }

  /**
   * Judges an entry that was read from a restored store.
   *
   * @param known what was known of a replica of that name, if any
   */
  Verdict judge(Replica replica, Optional<Replica> known) {
    Departure departure = departures.get(replica.id());
    boolean startedAgain =
        known.filter(before -> before.startedMillis() > replica.startedMillis()).isPresent()
            || (departure != null && departure.startedMillis() > replica.startedMillis());
    if (startedAgain) {
      return Verdict.SUPERSEDED;
    }
    if (departure == null || !departure.matches(replica)) {
      return Verdict.VALID;
    }
    if (departure.announced()) {
      return Verdict.LEAVING;
    }
    return departure.era() < era.getAsLong() ? Verdict.UNPROVEN : Verdict.VALID;
  }

  /** Holds a replica back until its entry has outlived that of a dead server. */
  void hold(Replica replica) {
    unproven.putIfAbsent(
        replica.id(), new Unproven(replica, nanoTime.getAsLong() + ENTRY_LIFE_MAX.toNanos()));
  }

  /** Returns whether a replica is held back. */
  boolean holds(Replica replica) {
    Unproven held = unproven.get(replica.id());
    return held != null && held.replica().sameIncarnation(replica);
  }

  /** Returns the replicas whose entries have proved to be alive, and holds them no longer. */
  List<Replica> proven() {
    if (unproven.isEmpty()) {
      return List.of();
    }
    long now = nanoTime.getAsLong();
    List<Replica> proven = new ArrayList<>();
    unproven.values().removeIf(held -> held.untilNanos() - now <= 0 && proven.add(held.replica()));
    return proven;
  }

  /** A replica that is held back. */
  private record Unproven(Replica replica, long untilNanos) {}
}
