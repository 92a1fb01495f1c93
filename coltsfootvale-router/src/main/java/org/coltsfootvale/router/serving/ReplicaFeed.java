package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.decision.RateLimitedDecisionLog;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.store.PrefixListener;
import org.coltsfootvale.core.store.StoreEntry;

/** Applies the entries of replicas in the store to the table of replicas. */
final class ReplicaFeed implements PrefixListener {

  /** An entry that cannot be used may be written again with each heartbeat. */
  private static final Duration UNUSABLE_ENTRY_LOG_INTERVAL = Duration.ofSeconds(1);

  private final EntryFormats formats;
  private final ReplicaTable table;
  private final DecisionLog log;

  ReplicaFeed(EntryFormats formats, ReplicaTable table, DecisionLog log) {
    this.formats = formats;
    this.table = table;
    this.log = log;
  }

  /** Returns a log that limits the rate of the lines about entries that cannot be used. */
  static DecisionLog withRateLimit(DecisionLog log, LongSupplier nanoTime) {
    return new RateLimitedDecisionLog(
        log, DecisionEvent.REPLICA_ENTRY_UNUSABLE, UNUSABLE_ENTRY_LOG_INTERVAL, nanoTime);
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
    Optional<Replica> replica = entry.value().flatMap(value -> formats.replica(entry.key(), value));
    if (entry.value().isPresent() && replica.isEmpty()) {
      log.record(
          Decision.of(DecisionEvent.REPLICA_ENTRY_UNUSABLE)
              .with("key", entry.key())
              .with("revision", entry.revision())
              .with("remedy", "find who writes the key, and delete it or complete its fields"));
    }
    return replica;
  }
}
