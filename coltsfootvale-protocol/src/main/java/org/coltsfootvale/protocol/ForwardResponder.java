package org.coltsfootvale.protocol;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Sends the answer to a request that a peer has forwarded. Thread-safe. */
public interface ForwardResponder {

  /** Sends the status and the headers. */
  void head(ForwardHead head);

  /**
   * Sends a part of the body.
   *
   * @return completes when the peer's credit allows the next part; fails if the stream has ended
   */
  CompletableFuture<Void> body(byte[] data);

  /** Sends the end marker. */
  void end();

  /** Ends the stream with an error. */
  void fail(ColtsfootvaleException error);

  /** Runs an action if the peer cancels or its connection is lost; at once if that has happened. */
  void onCancel(Runnable action);
}
