package org.coltsfootvale.protocol;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Sends the answer to a request forwarded by a peer. Thread-safe. */
public interface ForwardResponder {

  /** Sends the status and the headers. */
  void head(ForwardHead head);

  /**
   * Sends a part of the body.
   *
   * @return a future that completes once the peer's credit allows the next part, or fails if the
   *     stream has ended
   */
  CompletableFuture<Void> body(byte[] data);

  /** Sends the end marker of a complete answer. */
  void end();

  /** Sends an error and ends the stream. */
  void fail(ColtsfootvaleException error);

  /**
   * Registers an action that runs if the peer cancels the request or its connection is lost. Runs
   * it immediately if that has already happened.
   */
  void onCancel(Runnable action);
}
