package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;

/** Something that waits to be sent to a peer. Used on the connection's event loop only. */
interface Outbound {

  /** Returns the bytes that count against the send queue. */
  int queuedBytes();

  /** Tells whether it must wait for a connection that answers its heartbeats. */
  boolean needsProvenConnection();

  /** Sends it. */
  void writeTo(ClientChannel channel);

  /** Tells that it will never be sent. */
  void onNotSent(ColtsfootvaleException error);
}
