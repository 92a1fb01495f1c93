package org.coltsfootvale.core.store;

import java.util.List;

/**
 * Changes of a prefix as one router passes them on to others.
 *
 * @param prefix the beginning of the keys
 * @param baseRevision the latest change before these; who does not know it lacks something between
 * @param position the store's position up to which the prefix is known with these changes
 * @param entries the changes
 * @param full whether the entries are all keys of the prefix, as after a restore of the store
 * @param storeRecovered whether the store was out of reach before, so that entries may have lapsed
 */
public record PrefixUpdate(
    String prefix,
    long baseRevision,
    StorePosition position,
    List<StoreEntry> entries,
    boolean full,
    boolean storeRecovered) {

  /** Returns the news that the store was out of reach, so that entries may have lapsed. */
  static PrefixUpdate ofStoreRecovery(String prefix) {
    return new PrefixUpdate(prefix, 0, StorePosition.NONE, List.of(), false, true);
  }

  /** Copies the list. */
  public PrefixUpdate {
    entries = List.copyOf(entries);
  }
}
