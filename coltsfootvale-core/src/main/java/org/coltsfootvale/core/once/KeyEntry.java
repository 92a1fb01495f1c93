package org.coltsfootvale.core.once;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.OrganisationId;
import org.jspecify.annotations.Nullable;

/** What a router knows of one key. Guarded by the lock of its shard. */
final class KeyEntry {

  final Id id;
  final long fingerprint;
  final long attempt;
  Instant expiresAt;
  State state = State.CLAIMING;
  CompletableFuture<StoredAnswer> answer = new CompletableFuture<>();
  CompletableFuture<IdempotencyDecision> claim = new CompletableFuture<>();
  @Nullable Long claimEndsAtNanos;
  int storedBytes;

  KeyEntry(Id id, long fingerprint, long attempt, Instant expiresAt) {
    this.id = id;
    this.fingerprint = fingerprint;
    this.attempt = attempt;
    this.expiresAt = expiresAt;
  }

  /** Returns whether the entry may be forgotten at its expiry. */
  boolean forgettable() {
    return state != State.CLAIMING && state != State.RUNNING;
  }

  /** Ends the entry with an answer too large to be kept. */
  static ColtsfootvaleException answerNotKept(StoredAnswer answer) {
    return ColtsfootvaleException.outcomeUnknown(
        ErrorKind.ANSWER_NOT_KEPT,
        "The request has run and was answered with status "
            + answer.status()
            + "; the answer was too large to be kept.");
  }

  /** What is happening with a key. */
  enum State {
    /** Its claim is being written. */
    CLAIMING,
    /** Its claim may have been written, but this was not heard. */
    UNCERTAIN,
    /** Claimed by this router, not running. */
    IDLE,
    /** Running. */
    RUNNING,
    /** Has run; it never runs again. */
    DONE
  }

  /** A key's name: keys of different organisations never meet. */
  record Id(OrganisationId organisation, String text) {}
}
