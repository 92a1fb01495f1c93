package org.coltsfootvale.protocol;

import org.coltsfootvale.protocol.wire.Envelope;

/** Takes the messages that carry its correlation. Called on the connection's event loop. */
interface ReplyReceiver {

  /**
   * Takes a message.
   *
   * @return whether it was the last one
   */
  boolean onReply(Envelope envelope);

  /** Tells that the connection is lost. */
  void onLost();
}
