package org.coltsfootvale.core.store;

import java.util.List;

/** Receives the full reads and the changes of a store prefix. */
public interface PrefixListener {

  /** Called with all keys of the prefix. */
  void onFullRead(List<StoreEntry> entries);

  /**
   * Called with all keys of the prefix after the store was restored from a copy; they may be older
   * than those received before.
   */
  default void onRestored(List<StoreEntry> entries) {
    onFullRead(entries);
  }

  /** Called for each change. */
  void onChange(StoreEntry entry);

  /** Called when the store answers again after an outage. */
  void onStoreRecovered();
}
