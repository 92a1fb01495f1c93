package org.coltsfootvale.core.store;

import java.util.List;

/**
 * Changes of a prefix as one router passes them on to others.
 *
 * @param prefix the beginning of the keys
 * @param baseRevision the latest change before these; who does not know it lacks something between
 * @param revision the store's revision up to which the prefix is known with these changes
 * @param entries the changes
 * @param storeReturned whether the store was out of reach before, so that entries may have lapsed
 */
public record PrefixUpdate(
    String prefix,
    long baseRevision,
    long revision,
    List<StoreEntry> entries,
    boolean storeReturned) {

  /** Copies the list. */
  public PrefixUpdate {
    entries = List.copyOf(entries);
  }
}
