package org.coltsfootvale.protocol;

import org.coltsfootvale.protocol.wire.Envelope;

/** Receives the messages with its correlation ID. Called on the connection's event loop. */
interface ReplyReceiver {

  /**
   * Handles a message.
   *
   * @return whether this was the last message
   */
  boolean onReply(Envelope envelope);

  /** Called when the connection is lost. */
  void onConnectionLost();
}
