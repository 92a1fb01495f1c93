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
 * The notes applied by one router in revision order, and the resulting state. Thread-safe;
 * listeners run outside the lock, one state at a time.
 */
final class AppliedNotes {

  private final FleetStateReducer reducer;
  private final int retainedMax;
  private final Object lock = new Object();
  private final ArrayDeque<AcceptedNote> retained = new ArrayDeque<>();
  private final Map<String, AcceptedNote> byId = new HashMap<>();
  private final Queue<FleetState> pendingStates = new ArrayDeque<>();
  private final List<Consumer<FleetState>> listeners = new CopyOnWriteArrayList<>();
  private boolean notifying;
  private boolean anyRevisionReceived;
  private long highestReceivedRevision;
  private volatile boolean ready;
  private FleetState base = FleetState.empty();
  private volatile FleetState current = FleetState.empty();

  /** Creates an empty log that retains at most the given number of notes. */
  AppliedNotes(FleetStateReducer reducer, int retainedMax) {
    this.reducer = reducer;
    this.retainedMax = retainedMax;
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

  /** Applies the next note or a newer snapshot; ignores any other. */
  void apply(AcceptedNote note) {
    synchronized (lock) {
      if (FleetSnapshots.isSnapshot(note.note())) {
        applySnapshot(note);
      } else {
        applyNext(note);
      }
      updateReady();
    }
    notifyListeners();
  }

  private void applySnapshot(AcceptedNote snapshot) {
    if (snapshot.revision() <= current.revision()) {
      return;
    }
    current = FleetSnapshots.state(snapshot);
    base = current;
    retained.clear();
    byId.clear();
    pendingStates.add(current);
  }

  private void applyNext(AcceptedNote note) {
    if (note.revision() != current.revision() + 1) {
      return;
    }
    current = reducer.applyAccepted(current, note.note());
    retained.add(note);
    byId.put(note.note().id(), note);
    pendingStates.add(current);
    if (retained.size() > retainedMax) {
      AcceptedNote oldest = retained.remove();
      base = reducer.applyAccepted(base, oldest.note());
      byId.remove(oldest.note().id(), oldest);
    }
  }

  /** Records that the platform's log was read to its end. */
  void onPlatformRead() {
    synchronized (lock) {
      anyRevisionReceived = true;
      updateReady();
    }
  }

  /**
   * Records the newest revision applied by a peer; 0 is ignored, because that peer has no revision
   * yet.
   */
  void onPeerRevision(long revision) {
    if (revision <= 0) {
      return;
    }
    synchronized (lock) {
      anyRevisionReceived = true;
      highestReceivedRevision = Math.max(highestReceivedRevision, revision);
      updateReady();
    }
  }

  Optional<AcceptedNote> find(String id) {
    synchronized (lock) {
      return Optional.ofNullable(byId.get(id));
    }
  }

  /**
   * Returns retained notes, preceded by a snapshot if notes after the revision are no longer
   * retained.
   */
  List<AcceptedNote> notesAfter(long revision, int limit) {
    synchronized (lock) {
      List<AcceptedNote> notes = new ArrayList<>();
      if (revision < base.revision()) {
        notes.add(FleetSnapshots.of(base));
      }
      retained.stream().filter(note -> note.revision() > revision).limit(limit).forEach(notes::add);
      return notes.subList(0, Math.min(limit, notes.size()));
    }
  }

  void addListener(Consumer<FleetState> listener) {
    listeners.add(listener);
  }

  private void updateReady() {
    ready |= anyRevisionReceived && current.revision() >= highestReceivedRevision;
  }

  private void notifyListeners() {
    while (true) {
      FleetState next;
      synchronized (lock) {
        if (notifying || pendingStates.isEmpty()) {
          return;
        }
        notifying = true;
        next = pendingStates.remove();
      }
      try {
        listeners.forEach(listener -> listener.accept(next));
      } finally {
        synchronized (lock) {
          notifying = false;
        }
      }
    }
  }
}
