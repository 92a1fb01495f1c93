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
   * @return all keys as one page at the position of the first page; fails with {@link
   *     StoreException.Fault#HISTORY_GONE} if the store is restored in between
   */
  static CompletableFuture<StorePage> of(RevisionedStore store, String prefix) {
    return store.read(prefix, "").thenCompose(first -> readRemaining(store, prefix, first));
  }

  private static CompletableFuture<StorePage> readRemaining(
      RevisionedStore store, String prefix, StorePage page) {
    if (page.complete() || page.entries().isEmpty()) {
      return CompletableFuture.completedFuture(page);
    }
    String lastKey = page.entries().get(page.entries().size() - 1).key();
    return store
        .read(prefix, lastKey)
        .thenCompose(next -> readRemaining(store, prefix, append(prefix, page, next)));
  }

  private static StorePage append(String prefix, StorePage page, StorePage next) {
    if (next.position().era() != page.position().era()) {
      throw new StoreException(
          StoreException.Fault.HISTORY_GONE,
          "the store was restored while " + prefix + " was read",
          null);
    }
    List<StoreEntry> entries = new ArrayList<>(page.entries());
    entries.addAll(next.entries());
    boolean complete = next.complete() || next.entries().isEmpty();
    return new StorePage(entries, complete, page.position());
  }
}
