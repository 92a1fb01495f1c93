package org.coltsfootvale.core.store;

import java.util.List;

/**
 * The changes after a revision.
 *
 * @param entries the changes in the order in which they were made; empty if none was made in time
 * @param revision the revision to go on from
 */
public record StoreChanges(List<StoreEntry> entries, long revision) {

  /** Copies the list. */
  public StoreChanges {
    entries = List.copyOf(entries);
  }
}
