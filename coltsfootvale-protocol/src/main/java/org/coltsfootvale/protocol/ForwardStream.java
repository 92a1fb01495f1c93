package org.coltsfootvale.protocol;

/** The handle of a request that this router has forwarded to a peer. */
public interface ForwardStream {

  /** Grants the peer credit for more bytes of the body. */
  void grant(int bytes);

  /** Cancels the request at the peer; has no effect once the request has ended. */
  void cancel();
}
