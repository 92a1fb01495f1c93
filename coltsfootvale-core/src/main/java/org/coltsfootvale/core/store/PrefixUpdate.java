package org.coltsfootvale.core.store;

import java.util.List;

/**
 * Changes of a prefix that a router publishes to its peers.
 *
 * @param prefix the prefix of the keys
 * @param baseRevision the revision of the latest change before these; a receiver that is behind it
 *     misses changes
 * @param position the store position up to which the prefix is complete with these changes
 * @param entries the changes
 * @param full whether the entries are all keys of the prefix, as after a restore of the store
 * @param storeRecovered whether the store was unreachable before, so that entries may have expired
 */
public record PrefixUpdate(
    String prefix,
    long baseRevision,
    StorePosition position,
    List<StoreEntry> entries,
    boolean full,
    boolean storeRecovered) {

  /**
   * Returns an update that reports the store's recovery from an outage in which entries may have
   * expired.
   */
  static PrefixUpdate ofStoreRecovery(String prefix) {
    return new PrefixUpdate(prefix, 0, StorePosition.NONE, List.of(), false, true);
  }

  /** Copies the list. */
  public PrefixUpdate {
    entries = List.copyOf(entries);
  }
}
