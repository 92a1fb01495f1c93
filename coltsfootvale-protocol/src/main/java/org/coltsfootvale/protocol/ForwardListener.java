package org.coltsfootvale.protocol;

import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.protocol.wire.ForwardHead;

/** Receives the answer to a forwarded request. */
public interface ForwardListener {

  /** Called with the status and the headers. */
  void onHead(ForwardHead head);

  /** Called with each part of the body. */
  void onBody(byte[] data);

  /** Called when the answer is complete. */
  void onEnd();

  /**
   * Called when the answer remains incomplete.
   *
   * @param error its outcome is {@code NOT_RUN} only if no byte of the request was sent or the peer
   *     reported that outcome
   */
  void onFailure(ColtsfootvaleException error);
}
