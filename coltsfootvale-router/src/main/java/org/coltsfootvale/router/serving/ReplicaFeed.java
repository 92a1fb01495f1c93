package org.coltsfootvale.router.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.StoreEntry;

/** Applies the entries of replicas in the store to the table of replicas. */
final class ReplicaFeed implements PrefixListener {

  private final EntryFormats formats;
  private final ReplicaTable table;

  ReplicaFeed(EntryFormats formats, ReplicaTable table) {
    this.formats = formats;
    this.table = table;
  }

  @Override
  public void onFullRead(List<StoreEntry> entries) {
    table.replaceAll(replicasOf(entries));
  }

  @Override
  public void onRestored(List<StoreEntry> entries) {
    table.restoreAll(replicasOf(entries));
  }

  private List<Replica> replicasOf(List<StoreEntry> entries) {
    List<Replica> replicas = new ArrayList<>();
    entries.forEach(entry -> read(entry).ifPresent(replicas::add));
    return replicas;
  }

  @Override
  public void onChange(StoreEntry entry) {
    read(entry).ifPresentOrElse(table::put, () -> table.remove(formats.replicaId(entry.key())));
  }

  @Override
  public void onStoreRecovered() {
    table.storeReturned();
  }

  private Optional<Replica> read(StoreEntry entry) {
    return entry.value().flatMap(value -> formats.replica(entry.key(), value));
  }
}
