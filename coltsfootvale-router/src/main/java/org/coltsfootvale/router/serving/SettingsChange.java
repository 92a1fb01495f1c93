package org.coltsfootvale.router.serving;

import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;

/** Reports settings that were read again while a router runs. */
final class SettingsChange {

  private SettingsChange() {}

  /** Returns the report on settings that take effect at the next start only. */
  static Decision report(EntrySettings latest, EntrySettings inForce) {
    boolean changed = !latest.equals(inForce);
    Decision decision = Decision.of(DecisionEvent.SETTINGS_RELOADED).with("changed", changed);
    if (changed) {
      decision
          .with("remedy", "restart the router to apply them")
          .with("settings", latest.redacted().toString())
          .with("in_force", inForce.redacted().toString());
    }
    return decision;
  }
}
