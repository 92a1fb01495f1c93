package org.coltsfootvale.core.store;

import java.util.List;

/** Hears of the readings and the changes of a prefix of the store. */
public interface PrefixListener {

  /** Takes all keys of the prefix. */
  void onFullRead(List<StoreEntry> entries);

  /**
   * Takes all keys of the prefix from a store that was restored from a copy: they may be older than
   * what is known.
   */
  default void onRestored(List<StoreEntry> entries) {
    onFullRead(entries);
  }

  /** Takes one change. */
  void onChange(StoreEntry entry);

  /** Tells that the store answers again after calls have failed. */
  void onStoreRecovered();
}
