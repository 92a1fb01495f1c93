package org.coltsfootvale.core.once;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Determines whether another router may still be able to answer for its keys. */
@FunctionalInterface
public interface HomeLiveness {

  /**
   * Returns whether this incarnation of a router may still be running. Returns false if the router
   * has restarted under the same id or membership considers it dead.
   */
  boolean mayBeRunning(RouterIncarnation home);
}
