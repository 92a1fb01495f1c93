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
 * Validates the entries of a store that was restored from a copy against the recorded departures,
 * so that a replica that departed after the copy was taken is not used again. Confined to one
 * thread.
 */
final class RestoredEntryValidator {

  /** The result of validating an entry. */
  enum Verdict {
    /** The entry is valid. */
    VALID,
    /** The replica has announced its departure, which is final. */
    LEAVING,
    /**
     * The replica had vanished; it is used again once its entry has existed longer than that of a
     * dead server could.
     */
    UNPROVEN,
    /** The replica has been restarted since. */
    SUPERSEDED
  }

  /** The longest time for which an entry outlives a dead server. */
  static final Duration ENTRY_LIFE_MAX = Duration.ofSeconds(8);

  /** The capacity in departures; the oldest one is evicted. */
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

  /** Records the departure of a replica. */
  void onDeparture(Replica replica, boolean announced) {
    recordDeparture(
        new Departure(replica.id(), replica.startedMillis(), announced, era.getAsLong()));
  }

  /** Records a departure received from a peer, unless that of a later incarnation is recorded. */
  void recordDeparture(Departure departure) {
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

  /** Returns the recorded departures. */
  List<Departure> departures() {
    return List.copyOf(departures.values());
  }

  /** Records that a replica has written its entry itself; returns whether it is leaving. */
  boolean onWritten(Replica replica) {
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

  /** Records that an entry is no longer in the store. */
  void onRemoved(String id) {
    unproven.remove(id);
  }

  /**
   * Validates an entry read from a restored store.
   *
   * @param known the known record with the same id, if any
   */
  Verdict validate(Replica replica, Optional<Replica> known) {
    Departure departure = departures.get(replica.id());
    boolean restarted =
        known.filter(before -> before.startedMillis() > replica.startedMillis()).isPresent()
            || (departure != null && departure.startedMillis() > replica.startedMillis());
    if (restarted) {
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

  /** Holds back a replica until its entry has existed longer than that of a dead server could. */
  void holdBack(Replica replica) {
    unproven.putIfAbsent(
        replica.id(), new Unproven(replica, nanoTime.getAsLong() + ENTRY_LIFE_MAX.toNanos()));
  }

  /** Returns whether a replica is held back. */
  boolean heldBack(Replica replica) {
    Unproven held = unproven.get(replica.id());
    return held != null && held.replica().sameIncarnation(replica);
  }

  /** Removes and returns the held replicas whose entries have existed long enough. */
  List<Replica> takeProven() {
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
