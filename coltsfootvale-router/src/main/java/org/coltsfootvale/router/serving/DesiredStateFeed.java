package org.coltsfootvale.router.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.routing.Organisations;
import org.coltsfootvale.core.routing.RoutingState;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.StoreEntry;

/** Applies the desired state and the evacuations from the store to the serving state. */
final class DesiredStateFeed implements PrefixListener {

  private final EntryFormats formats;
  private final ServingState state;
  private final DecisionLog log;
  private final UnusableOrganisationsLog unusableOrganisations;
  private final Runnable recoveryListener;
  private Optional<StoreEntry> appliedEntry = Optional.empty();

  DesiredStateFeed(
      EntryFormats formats, ServingState state, DecisionLog log, Runnable recoveryListener) {
    this.formats = formats;
    this.state = state;
    this.log = log;
    this.unusableOrganisations = new UnusableOrganisationsLog(log);
    this.recoveryListener = recoveryListener;
  }

  @Override
  public void onFullRead(List<StoreEntry> entries) {
    // A full read replaces the evacuations; a desired state that it lacks stays in force.
    Set<String> evacuated = new HashSet<>();
    for (StoreEntry entry : entries) {
      if (entry.value().isPresent()) {
        formats.evacuatedDataCentre(entry.key()).ifPresent(evacuated::add);
      }
    }
    state.setEvacuated(evacuated);
    entries.forEach(this::applyDesiredState);
  }

  @Override
  public void onChange(StoreEntry entry) {
    formats
        .evacuatedDataCentre(entry.key())
        .ifPresent(dataCentre -> state.setEvacuated(dataCentre, entry.value().isPresent()));
    applyDesiredState(entry);
  }

  private void applyDesiredState(StoreEntry entry) {
    if (!entry.key().equals(formats.desiredStateKey()) || entry.value().isEmpty()) {
      return;
    }
    formats
        .desiredState(entry.value().get())
        .ifPresentOrElse(
            latest -> apply(latest, entry),
            () ->
                log.record(
                    Decision.of(DecisionEvent.DESIRED_STATE_UNREADABLE)
                        .with("revision", entry.revision())
                        .with("key", entry.key())
                        .with("in_force", state.desiredStateVersion())
                        .with("remedy", "write a valid desired state to the key")));
  }

  private void apply(RoutingState latest, StoreEntry entry) {
    Optional<Organisations> before = state.routing().map(RoutingState::organisations);
    if (state.applyDesiredState(latest, entry.revision())) {
      appliedEntry = Optional.of(entry);
      unusableOrganisations.recordNew(before, latest.organisations(), latest.version());
    }
  }

  /**
   * Returns the entry that was applied last. The store may hold an earlier version after a restore
   * from a copy.
   */
  Optional<StoreEntry> appliedEntry() {
    return appliedEntry;
  }

  /** Returns the version that was applied last, 0 before the first. */
  long appliedVersion() {
    return state.desiredStateVersion();
  }

  @Override
  public void onStoreRecovered() {
    recoveryListener.run();
  }
}
