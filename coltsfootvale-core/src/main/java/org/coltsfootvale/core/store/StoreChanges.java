package org.coltsfootvale.core.store;

import java.util.List;

/**
 * The changes after a revision.
 *
 * @param entries the changes in the order in which they were made; empty if the wait timed out
 * @param position the position from which to continue
 */
public record StoreChanges(List<StoreEntry> entries, StorePosition position) {

  /** Copies the list. */
  public StoreChanges {
    entries = List.copyOf(entries);
  }
}
