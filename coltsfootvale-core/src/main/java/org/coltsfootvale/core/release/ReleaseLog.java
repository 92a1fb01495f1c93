package org.coltsfootvale.core.release;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The log of accepted release notes as seen by one router. Applies revisions in ascending order
 * only. Thread-safe; listeners are called in revision order.
 */
public interface ReleaseLog {

  /** Returns the state after the newest applied revision. */
  FleetState current();

  /**
   * Returns whether this router may serve: since its start it has applied the newest revision
   * received from the platform or from peers.
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
   * Submits a note; can be retried safely under the same id. Fails with INVALID_NOTE, NOTE_CONFLICT
   * or, if the platform fails, PLATFORM_UNAVAILABLE.
   */
  CompletableFuture<AcceptedNote> submit(ReleaseNote note);

  /** Reads new revisions from the platform; returns the newest applied one. */
  CompletableFuture<Long> refresh();

  /**
   * Records the newest revision that a peer has applied. A starting router is not ready below the
   * highest revision received.
   */
  default void onPeerRevision(long revision) {}

  /** Applies notes received from a peer; ignores those already applied or out of order. */
  void applyFromPeer(List<AcceptedNote> notes);

  /**
   * Returns retained notes after a revision, oldest first, at most {@code limit}. If earlier ones
   * are no longer retained, the first is a snapshot, which {@link #applyFromPeer} also accepts.
   */
  List<AcceptedNote> notesAfter(long revision, int limit);

  /** Adds a listener that is called with each newly applied state. */
  void addListener(java.util.function.Consumer<FleetState> listener);
}
