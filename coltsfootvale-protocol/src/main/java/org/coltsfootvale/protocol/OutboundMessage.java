package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;

/**
 * An entry of a connection's send queue. All methods but {@link #queuedBytes} are called on the
 * connection's event loop only.
 */
interface OutboundMessage {

  /** Returns the size that counts against the limit of the send queue, in bytes. */
  int queuedBytes();

  /** Returns whether sending waits until the connection has no unanswered heartbeat. */
  boolean requiresResponsiveConnection();

  /** Writes the message to a channel. */
  void writeTo(ClientChannel channel);

  /** Called instead of {@link #writeTo} if the message is not sent. */
  void onNotSent(ColtsfootvaleException error);
}
