package org.coltsfootvale.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads all pages of the keys with a prefix. */
final class FullRead {

  private FullRead() {}

  /**
   * Reads all keys.
   *
   * @return all keys as one page, at the position of the first one; fails with {@link
   *     StoreException.Fault#HISTORY_GONE} if the store is restored in between
   */
  static CompletableFuture<StorePage> of(RevisionedStore store, String prefix) {
    return store.read(prefix, "").thenCompose(first -> follow(store, prefix, first));
  }

  private static CompletableFuture<StorePage> follow(
      RevisionedStore store, String prefix, StorePage read) {
    if (read.complete() || read.entries().isEmpty()) {
      return CompletableFuture.completedFuture(read);
    }
    String lastKey = read.entries().get(read.entries().size() - 1).key();
    return store
        .read(prefix, lastKey)
        .thenCompose(next -> follow(store, prefix, joined(prefix, read, next)));
  }

  private static StorePage joined(String prefix, StorePage read, StorePage next) {
    if (next.position().era() != read.position().era()) {
      throw new StoreException(
          StoreException.Fault.HISTORY_GONE,
          "the store was restored while " + prefix + " was read",
          null);
    }
    List<StoreEntry> entries = new ArrayList<>(read.entries());
    entries.addAll(next.entries());
    boolean complete = next.complete() || next.entries().isEmpty();
    return new StorePage(entries, complete, read.position());
  }
}
