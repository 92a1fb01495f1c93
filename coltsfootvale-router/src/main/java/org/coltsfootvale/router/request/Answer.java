package org.coltsfootvale.router.request;

import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;

/**
 * Takes the answer to one request: a head, parts of a body, and an end. Used by one thread at a
 * time. Every method may block, which holds the source of the answer back.
 */
public interface Answer {

  /** Tells whether the head has been given. */
  boolean begun();

  /** Takes the status and the headers. */
  void head(int status, Headers headers);

  /**
   * Takes a part of the body and sends it on at once; the array is not kept.
   *
   * @throws ColtsfootvaleException CANCELLED if the caller is gone
   */
  void body(byte[] data, int length);

  /** Marks the answer as whole. */
  void end();

  /** Ends the answer with an error: as a problem before the head, as a broken answer after it. */
  void fail(ColtsfootvaleException error);
}
