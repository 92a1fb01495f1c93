package org.coltsfootvale.router.request;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Passes a request with a key on to the key's home. */
@FunctionalInterface
public interface Forwarder {

  /**
   * Forwards a request and passes the home's answer on; returns when it is whole.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException not run only if the home said so
   */
  void forward(RouterIncarnation home, IncomingRequest request, Answer answer);
}
