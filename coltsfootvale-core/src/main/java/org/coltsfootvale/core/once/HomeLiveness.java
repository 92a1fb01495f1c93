package org.coltsfootvale.core.once;

import org.coltsfootvale.core.model.RouterIncarnation;

/** Tells whether another router can still be asked about its keys. */
@FunctionalInterface
public interface HomeLiveness {

  /**
   * Returns whether this incarnation of a router may still be running. A router that has restarted
   * under the same id, or that membership holds for dead, is gone.
   */
  boolean mayBeRunning(RouterIncarnation home);
}
