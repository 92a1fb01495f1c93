package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.StoreEntry;

/** Feeds the desired state from the store to the serving state. */
final class DesiredStateFeed implements PrefixFollower.Listener {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final EntryFormats formats;
  private final ServingState state;

  DesiredStateFeed(EntryFormats formats, ServingState state) {
    this.formats = formats;
    this.state = state;
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
              state.accept(latest);
              LOGGER.atInfo().log(
                  "desired state %d of revision %d is in force",
                  latest.version(), entry.revision());
            },
            () ->
                LOGGER.atSevere().log(
                    "the desired state of revision %d cannot be read, the one before stays in"
                        + " force; write a valid one to %s",
                    entry.revision(), entry.key()));
  }

  @Override
  public void onStoreReturned() {}
}
