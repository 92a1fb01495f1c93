package org.coltsfootvale.router.request;

/** Serves authenticated requests of one kind on the calling thread. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Serves a request; returns when the answer is whole.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException if the answer is not whole; the
   *     answer has not been told and may have begun
   */
  void serve(IncomingRequest request, Answer answer);
}
