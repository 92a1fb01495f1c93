package org.coltsfootvale.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.coltsfootvale.core.course.AnswerOwner;

/**
 * Receives the answer of a replica to one request. All methods are called on the serving loop, none
 * after {@link #onEnd} or {@link #onAnswerLost}.
 */
public interface AnswerReceiver {

  /** Returns whether a header of this name bears the id of the request that is answered. */
  boolean bearsRequestId(String headerName);

  /** Called directly before the first byte of the request is sent. */
  void beforeSend();

  /**
   * Receives the head of an answer, and returns whose answer it is; further calls follow only if it
   * belongs to the request.
   *
   * @param soleRequest whether the connection has carried no other request and no other answer
   */
  AnswerOwner onHead(HttpResponse head, boolean soleRequest);

  /** Receives the memory of the head, and of the trailers while they arrive, when it changes. */
  void onFieldBytes(long bytes);

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
