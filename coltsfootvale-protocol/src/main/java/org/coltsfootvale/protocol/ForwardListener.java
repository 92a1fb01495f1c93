package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Receives the answer to a forwarded request. */
public interface ForwardListener {

  /** Takes the status and the headers. */
  void onHead(ForwardHead head);

  /** Takes a part of the body. */
  void onBody(byte[] data);

  /** Tells that the answer is whole. */
  void onEnd();

  /**
   * Tells that the answer stays incomplete.
   *
   * @param error not run only if no byte of the request left this router, or the peer said so
   */
  void onFailure(ColtsfootvaleException error);
}
