package org.coltsfootvale.core.membership;

import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterId;

/** What an entry is about. */
sealed interface Subject {

  /** A router. */
  record Router(RouterId id) implements Subject {}

  /** An engine. */
  record Engine(EngineId id) implements Subject {}
}
