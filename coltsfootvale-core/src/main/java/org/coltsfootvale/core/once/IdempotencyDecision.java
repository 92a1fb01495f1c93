package org.coltsfootvale.core.once;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.RouterIncarnation;

/** What a router does with a request that carries a key. */
public sealed interface IdempotencyDecision {

  /** Runs the request here; the execution must be ended exactly once. */
  record Run(Execution execution) implements IdempotencyDecision {}

  /** Waits for the run in progress, or takes its stored answer if it is complete. */
  record Attach(CompletableFuture<StoredAnswer> answer) implements IdempotencyDecision {}

  /** Forwards the request to the key's home. */
  record Forward(RouterIncarnation home) implements IdempotencyDecision {}

  /** Claims the key in the platform's service before anything is sent. */
  record Claim(CompletableFuture<IdempotencyDecision> decision) implements IdempotencyDecision {}

  /** A run in progress. */
  interface Execution {

    /**
     * Must be called directly before the first byte leaves towards a backend server.
     *
     * @throws org.coltsfootvale.core.error.ColtsfootvaleException not run, if this router may no
     *     longer run the key, for example because its claim has lapsed while it was paused
     */
    void beforeSend();

    /** Ends the run with a final answer. */
    void finished(StoredAnswer answer);

    /** Ends the run: nothing was sent or the backend server refused; the key may run again. */
    void notRun();

    /** Ends the run with an unknown outcome; the key never runs again. */
    void outcomeUnknown(org.coltsfootvale.core.error.ColtsfootvaleException error);
  }
}
