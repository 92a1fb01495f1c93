package org.coltsfootvale.protocol;

/** A request that this router has forwarded. */
public interface ForwardStream {

  /** Allows the peer to send more bytes of the body. */
  void grant(int bytes);

  /** Tells the peer that the answer is no longer wanted. */
  void cancel();
}
