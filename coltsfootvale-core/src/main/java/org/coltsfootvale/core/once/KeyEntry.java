package org.coltsfootvale.core.once;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.OrganisationId;
import org.jspecify.annotations.Nullable;

/** The state of one idempotency key at a router. Guarded by the lock of its shard. */
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

  /** Returns whether the entry may be removed when it expires. */
  boolean evictable() {
    return state != State.CLAIMING && state != State.RUNNING;
  }

  /** Returns the error for an answer that was too large to be stored. */
  static ColtsfootvaleException answerNotKept(StoredAnswer answer) {
    return ColtsfootvaleException.outcomeUnknown(
        ErrorKind.ANSWER_NOT_KEPT,
        "The request has run and was answered with status "
            + answer.status()
            + "; the answer was too large to be kept.");
  }

  /** The execution state of a key. */
  enum State {
    /** The claim is being written. */
    CLAIMING,
    /** The claim may have been written, but no reply was received. */
    UNCERTAIN,
    /** Claimed by this router, not executing. */
    IDLE,
    /** Executing. */
    RUNNING,
    /** Executed or possibly executed; never executed again. */
    DONE
  }

  /**
   * Identifies a key; keys of different organisations are distinct even if their texts are equal.
   */
  record Id(OrganisationId organisation, String text) {}
}
