package org.coltsfootvale.core.release;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The notes that one router has applied, in order and only upwards, and the state that follows from
 * them. Thread-safe; listeners run outside the lock, one state at a time.
 */
final class AppliedNotes {

  private final FleetStateReducer reducer;
  private final Object lock = new Object();
  private final List<AcceptedNote> retained = new ArrayList<>();
  private final Map<String, AcceptedNote> byId = new HashMap<>();
  private final Queue<FleetState> undelivered = new ArrayDeque<>();
  private final List<Consumer<FleetState>> listeners = new CopyOnWriteArrayList<>();
  private boolean delivering;
  private boolean heardAny;
  private long highestHeard;
  private volatile boolean ready;
  private volatile FleetState current = FleetState.empty();

  AppliedNotes(FleetStateReducer reducer) {
    this.reducer = reducer;
  }

  FleetState current() {
    return current;
  }

  long revision() {
    return current.revision();
  }

  boolean ready() {
    return ready;
  }

  /** Applies a note if it is the next one; ignores any other. */
  void apply(AcceptedNote note) {
    synchronized (lock) {
      if (note.revision() != current.revision() + 1) {
        return;
      }
      current = reducer.apply(current, note.note());
      retained.add(note);
      byId.put(note.note().id(), note);
      undelivered.add(current);
      updateReady();
    }
    deliver();
  }

  /** Records that the platform's log was read to its end. */
  void onPlatformRead() {
    synchronized (lock) {
      heardAny = true;
      updateReady();
    }
  }

  /** Records the newest revision that a peer has applied. */
  void onPeerRevision(long revision) {
    synchronized (lock) {
      heardAny = true;
      highestHeard = Math.max(highestHeard, revision);
      updateReady();
    }
  }

  Optional<AcceptedNote> find(String id) {
    synchronized (lock) {
      return Optional.ofNullable(byId.get(id));
    }
  }

  List<AcceptedNote> notesAfter(long revision, int limit) {
    synchronized (lock) {
      if (retained.isEmpty()) {
        return List.of();
      }
      long first = retained.get(0).revision();
      long from = Math.max(0, revision + 1 - first);
      if (from >= retained.size()) {
        return List.of();
      }
      long to = Math.min(retained.size(), from + limit);
      return List.copyOf(retained.subList((int) from, (int) to));
    }
  }

  void addListener(Consumer<FleetState> listener) {
    listeners.add(listener);
  }

  private void updateReady() {
    ready |= heardAny && current.revision() >= highestHeard;
  }

  private void deliver() {
    while (true) {
      FleetState next;
      synchronized (lock) {
        if (delivering || undelivered.isEmpty()) {
          return;
        }
        delivering = true;
        next = undelivered.remove();
      }
      try {
        listeners.forEach(listener -> listener.accept(next));
      } finally {
        synchronized (lock) {
          delivering = false;
        }
      }
    }
  }
}
