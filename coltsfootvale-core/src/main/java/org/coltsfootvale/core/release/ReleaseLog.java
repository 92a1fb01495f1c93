package org.coltsfootvale.core.release;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The log of accepted release notes, as one router knows it. Applies revisions in order and only
 * upwards. Thread-safe; listeners are called in revision order.
 */
public interface ReleaseLog {

  /** Returns the state after the newest applied revision. */
  FleetState current();

  /**
   * Tells whether this router may serve: it has learnt the newest revision from the platform or
   * from peers since it started.
   */
  boolean ready();

  /**
   * Validates a note against the current state without writing it.
   *
   * @return one line for each change
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException INVALID_NOTE or NOTE_CONFLICT
   */
  List<String> check(ReleaseNote note);

  /**
   * Submits a note. Safe to repeat with the same id. Fails with INVALID_NOTE, NOTE_CONFLICT or, if
   * the platform cannot tell, PLATFORM_UNAVAILABLE.
   */
  CompletableFuture<AcceptedNote> submit(ReleaseNote note);

  /** Reads new revisions from the platform; returns the newest applied one. */
  CompletableFuture<Long> refresh();

  /**
   * Records the newest revision that a peer says it has applied. A starting router is not ready
   * below the highest one heard.
   */
  default void onPeerRevision(long revision) {}

  /** Applies notes received from a peer; ignores those already applied or out of order. */
  void applyFromPeer(List<AcceptedNote> notes);

  /**
   * Returns retained notes after a revision, oldest first, at most {@code limit}. If older ones are
   * no longer retained, the first is a snapshot, which {@link #applyFromPeer} takes as well.
   */
  List<AcceptedNote> notesAfter(long revision, int limit);

  /** Adds a listener that is called with each newly applied state. */
  void addListener(java.util.function.Consumer<FleetState> listener);
}
