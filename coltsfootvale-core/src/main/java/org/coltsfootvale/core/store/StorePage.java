package org.coltsfootvale.core.store;

import java.util.List;

/**
 * One page of a read of all keys with a prefix. The pages of one read are no snapshot.
 *
 * @param entries the keys in ascending order
 * @param complete whether no further page follows
 * @param position the store position at which the page was read
 */
public record StorePage(List<StoreEntry> entries, boolean complete, StorePosition position) {

  /** Copies the list. */
  public StorePage {
    entries = List.copyOf(entries);
  }
}
