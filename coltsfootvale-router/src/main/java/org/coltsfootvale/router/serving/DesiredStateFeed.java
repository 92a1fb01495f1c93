package org.coltsfootvale.router.serving;

import java.util.List;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.StoreEntry;

/** Feeds the desired state from the store to the serving state. */
final class DesiredStateFeed implements PrefixFollower.Listener {

  private final EntryFormats formats;
  private final ServingState state;
  private final DecisionLog log;
  private final Runnable onStoreReturned;

  DesiredStateFeed(
      EntryFormats formats, ServingState state, DecisionLog log, Runnable onStoreReturned) {
    this.formats = formats;
    this.state = state;
    this.log = log;
    this.onStoreReturned = onStoreReturned;
  }

  @Override
  public void onReading(List<StoreEntry> entries) {
    entries.forEach(this::onChange);
  }

  @Override
  public void onChange(StoreEntry entry) {
    if (!entry.key().equals(formats.desiredStateKey()) || entry.value().isEmpty()) {
      return;
    }
    formats
        .desiredState(entry.value().get())
        .ifPresentOrElse(
            latest -> {
              state.accept(latest, entry.revision());
            },
            () ->
                log.record(
                    Decision.of(DecisionEvent.DESIRED_STATE_UNREADABLE)
                        .with("revision", entry.revision())
                        .with("key", entry.key())
                        .with("in_force", state.desiredStateVersion())
                        .with("remedy", "write a valid desired state to the key")));
  }

  @Override
  public void onStoreReturned() {
    onStoreReturned.run();
  }
}
