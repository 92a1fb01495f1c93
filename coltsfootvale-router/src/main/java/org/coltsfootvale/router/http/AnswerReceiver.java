package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to one request that was sent to a replica. Called on the serving loop; after
 * {@link #onEnd} or {@link #onAnswerLost} nothing more is called.
 */
public interface AnswerReceiver {

  /** Tells that the first byte of the request is about to leave. */
  void beforeSend();

  /** Takes the head of the answer; returns false if it answers another request. */
  boolean onHead(HttpResponse head);

  /** Takes a part of the body; the buffer is released afterwards. */
  void onContent(ByteBuf content);

  /** Tells that the answer is whole. */
  void onEnd();

  /**
   * Tells that there is no whole answer.
   *
   * @param sent whether a byte of the request has left towards the replica
   */
  void onAnswerLost(boolean sent, Throwable cause);
}
