package org.coltsfootvale.core.once;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.RouterIncarnation;

/** The decision on how a router handles a request with an idempotency key. */
public sealed interface IdempotencyDecision {

  /** Executes the request here; the execution must be ended exactly once. */
  record Run(Execution execution) implements IdempotencyDecision {}

  /** Waits for the execution in progress, or returns its stored answer if it has completed. */
  record Attach(CompletableFuture<StoredAnswer> answer) implements IdempotencyDecision {}

  /** Forwards the request to the key's home. */
  record Forward(RouterIncarnation home) implements IdempotencyDecision {}

  /** Claims the key in the platform's key-value service before anything is sent. */
  record Claim(CompletableFuture<IdempotencyDecision> decision) implements IdempotencyDecision {}

  /** An execution in progress. */
  interface Execution {

    /**
     * Must be called directly before the first byte is sent to a backend server.
     *
     * @throws org.coltsfootvale.core.error.ColtsfootvaleException not run, if this router may no
     *     longer execute the key, for example because its claim expired while the process was
     *     paused
     */
    void beforeSend();

    /** Ends the execution with a final answer. */
    void finished(StoredAnswer answer);

    /**
     * Ends the execution because nothing was sent or the backend server refused the request; the
     * key may be executed again.
     */
    void notRun();

    /** Ends the execution with an unknown outcome; the key is never executed again. */
    void outcomeUnknown(org.coltsfootvale.core.error.ColtsfootvaleException error);
  }
}
