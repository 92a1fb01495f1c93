package org.coltsfootvale.router.request;

/** Serves authenticated requests of one kind on the calling thread. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Serves a request; returns when the answer is complete.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException if the answer is not complete;
   *     {@link Answer#fail} has not been called, and the answer may have started
   */
  void serve(IncomingRequest request, Answer answer);
}
