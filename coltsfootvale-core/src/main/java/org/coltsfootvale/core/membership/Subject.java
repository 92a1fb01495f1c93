package org.coltsfootvale.core.membership;

import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterId;

/** The router or engine that an entry describes. */
sealed interface Subject {

  /** A router. */
  record Router(RouterId id) implements Subject {}

  /** An engine. */
  record Engine(EngineId id) implements Subject {}
}
