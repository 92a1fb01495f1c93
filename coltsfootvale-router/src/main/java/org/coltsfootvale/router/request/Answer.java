package org.coltsfootvale.router.request;

import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;

/**
 * Receives the answer to one request: a head, parts of a body, and an end. Used by one thread at a
 * time. Every method may block, which applies back-pressure to the source of the answer.
 */
public interface Answer {

  /** Returns whether the head has been passed. */
  boolean started();

  /** Receives the status and the headers. */
  void head(int status, Headers headers);

  /**
   * Sends a part of the body at once; the array is not retained.
   *
   * @throws ColtsfootvaleException CANCELLED if the caller has disconnected
   */
  void body(byte[] data, int length);

  /** Marks the answer as complete. */
  void end();

  /** Ends the answer with an error: problem details before the head, truncation after it. */
  void fail(ColtsfootvaleException error);
}
