package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer of a replica to one request. All methods are called on the serving loop, none
 * after {@link #onEnd} or {@link #onAnswerLost}.
 */
public interface AnswerReceiver {

  /** Called directly before the first byte of the request is sent. */
  void beforeSend();

  /** Receives the head of the answer; returns false if it belongs to another request. */
  boolean onHead(HttpResponse head);

  /** Receives a part of the body; the buffer is released afterwards. */
  void onContent(ByteBuf content);

  /** Called when the answer is complete. */
  void onEnd();

  /**
   * Called when no complete answer will arrive.
   *
   * @param sent whether bytes of the request may have been sent to the replica
   */
  void onAnswerLost(boolean sent, Throwable cause);
}
