package org.coltsfootvale.core.store;

import java.util.List;
import java.util.Optional;

/**
 * Changes of a prefix that a router publishes to its peers.
 *
 * @param prefix the prefix of the keys
 * @param baseRevision the revision of the latest change before these; a receiver that is behind it
 *     misses changes
 * @param position the store position up to which the prefix is complete with these changes
 * @param entries the changes
 * @param full whether the entries are all keys of the prefix, as after a restore of the store
 * @param recovery set if the store was unreachable before, so that entries may have expired; such
 *     an update holds no entries
 */
public record PrefixUpdate(
    String prefix,
    long baseRevision,
    StorePosition position,
    List<StoreEntry> entries,
    boolean full,
    Optional<StoreRecovery> recovery) {

  /** Returns an update with changes of the prefix. */
  static PrefixUpdate ofChanges(
      String prefix, long baseRevision, StorePosition position, List<StoreEntry> changes) {
    return new PrefixUpdate(prefix, baseRevision, position, changes, false, Optional.empty());
  }

  /** Returns an update with all keys of the prefix. */
  static PrefixUpdate ofFullState(String prefix, StorePosition position, List<StoreEntry> entries) {
    return new PrefixUpdate(prefix, 0, position, entries, true, Optional.empty());
  }

  /**
   * Returns an update that reports the store's recovery from an outage in which entries may have
   * expired.
   */
  static PrefixUpdate ofStoreRecovery(String prefix, StoreRecovery recovery) {
    return new PrefixUpdate(prefix, 0, StorePosition.NONE, List.of(), false, Optional.of(recovery));
  }

  /** Copies the list. */
  public PrefixUpdate {
    entries = List.copyOf(entries);
  }
}
