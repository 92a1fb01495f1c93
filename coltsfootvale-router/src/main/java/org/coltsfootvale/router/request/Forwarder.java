package org.coltsfootvale.router.request;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Forwards requests with an idempotency key to the key's home. */
@FunctionalInterface
public interface Forwarder {

  /**
   * Forwards a request and writes the home's answer; returns when it is complete.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException NOT_RUN only if stated by the home
   */
  void forward(RouterIncarnation home, IncomingRequest request, Answer answer);
}
