package org.coltsfootvale.router.request;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Forwards requests with an idempotency key to the key's home. */
@FunctionalInterface
public interface Forwarder {

  /**
   * Forwards a request and writes the home's answer; returns when it is complete.
   *
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException with outcome NOT_RUN only if the
   *     home has stated it
   */
  void forward(RouterIncarnation home, IncomingRequest request, Answer answer);
}
