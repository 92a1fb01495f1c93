package org.coltsfootvale.core.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.store.ExpiringTable;

/** This router's view of the replicas. Confined to one thread. */
public final class ReplicaTable {

  /** Receives changes of the view. */
  public interface Listener {

    /** Called when a replica may be used or its record has changed. */
    void onReplica(Replica replica);

    /** Called when a replica must get no new requests. */
    void onDeparture(Replica replica);
  }

  private final Listener listener;
  private final ExpiringTable<Replica> table;
  private final RestoredEntryValidator restoredEntries;
  private final Map<HostPort, Set<String>> idsByAddress = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param expiryGrace how long after the store's return an expired entry is kept in case it is
   *     written again
   * @param nanoTime the monotonic clock in nanoseconds
   * @param era the latest era of the store
   * @param listener receives the changes
   */
  public ReplicaTable(
      Duration expiryGrace, LongSupplier nanoTime, LongSupplier era, Listener listener) {
    this.listener = listener;
    this.restoredEntries = new RestoredEntryValidator(nanoTime, era);
    this.table = new ExpiringTable<>(expiryGrace, nanoTime, (id, replica) -> onRemoved(replica));
  }

  private void onRemoved(Replica replica) {
    removeAddress(replica);
    restoredEntries.onDeparture(replica, replica.leaving());
    listener.onDeparture(replica);
  }

  private void removeAddress(Replica replica) {
    Set<String> ids = idsByAddress.getOrDefault(replica.address(), new HashSet<>());
    ids.remove(replica.id());
    if (ids.isEmpty()) {
      idsByAddress.remove(replica.address());
    }
  }

  /**
   * Records that the store is reachable again after an outage in which entries may have expired.
   */
  public void storeReturned() {
    table.onStoreRecovered();
  }

  /** Applies an entry that the replica itself has written. */
  public void put(Replica replica) {
    accept(restoredEntries.onWritten(replica) ? replica.asLeaving() : replica);
  }

  private void accept(Replica replica) {
    Optional<Replica> previous = table.put(replica.id(), replica);
    previous.ifPresent(this::removeAddress);
    idsByAddress.computeIfAbsent(replica.address(), address -> new HashSet<>()).add(replica.id());
    boolean alreadyLeaving =
        previous.filter(before -> before.leaving() && before.sameIncarnation(replica)).isPresent();
    if (alreadyLeaving) {
      // A departure is final, so this record is older than the known one.
      table.put(replica.id(), replica.asLeaving());
      return;
    }
    previous.filter(before -> !before.sameIncarnation(replica)).ifPresent(listener::onDeparture);
    if (replica.leaving()) {
      restoredEntries.onDeparture(replica, true);
    }
    if (replica.leaving() || superseded(replica)) {
      listener.onDeparture(replica);
    } else {
      atSameAddress(replica)
          .filter(other -> supersedes(replica, other))
          .forEach(listener::onDeparture);
      listener.onReplica(replica);
    }
  }

  private boolean superseded(Replica replica) {
    return atSameAddress(replica).anyMatch(other -> supersedes(other, replica));
  }

  /** Returns the records with the address of a replica. */
  private Stream<Replica> atSameAddress(Replica replica) {
    return idsByAddress.getOrDefault(replica.address(), Set.of()).stream()
        .flatMap(id -> table.find(id).stream());
  }

  /**
   * Returns whether a replica has taken over the address of another: an address belongs to the
   * server that started last, and the entry of a dead one expires later.
   */
  private static boolean supersedes(Replica later, Replica earlier) {
    return later.address().equals(earlier.address())
        && later.startedMillis() > earlier.startedMillis();
  }

  /** Marks a replica as leaving after an announcement outside the store. */
  public void onDepartureAnnounced(String id, long startedMillis) {
    table
        .find(id)
        .filter(replica -> replica.startedMillis() == startedMillis && !replica.leaving())
        .ifPresent(replica -> accept(replica.asLeaving()));
  }

  /** Applies a departure received from a peer. */
  public void onPeerDeparture(Departure departure) {
    restoredEntries.recordDeparture(departure);
    if (departure.announced()) {
      onDepartureAnnounced(departure.id(), departure.startedMillis());
      return;
    }
    // The entry may have been read from a store that was restored after the departure.
    table
        .find(departure.id())
        .filter(
            replica ->
                restoredEntries.validate(replica, Optional.empty())
                    == RestoredEntryValidator.Verdict.UNPROVEN)
        .ifPresent(
            replica -> {
              restoredEntries.holdBack(replica);
              table.remove(replica.id(), true);
            });
  }

  /** Returns the recorded departures, for a router that has just started. */
  public List<Departure> departures() {
    return restoredEntries.departures();
  }

  /** Removes a replica whose entry was deleted or is invalid. */
  public void remove(String id) {
    restoredEntries.onRemoved(id);
    boolean announced = table.find(id).map(Replica::leaving).orElse(false);
    table.remove(id, announced);
  }

  /** Applies a full read of the store: replicas that are missing from it are removed. */
  public void replaceAll(List<Replica> entries) {
    Set<String> present = new HashSet<>();
    for (Replica replica : entries) {
      present.add(replica.id());
      if (!restoredEntries.heldBack(replica)) {
        put(replica);
      }
    }
    table.missingIn(present).forEach(this::remove);
  }

  /**
   * Applies a full read of a store that was restored from a copy. Replicas that departed after the
   * copy was taken stay out of use; replicas that the copy lacks may still be written again.
   */
  public void restoreAll(List<Replica> entries) {
    Set<String> present = new HashSet<>();
    for (Replica replica : entries) {
      switch (restoredEntries.validate(replica, table.find(replica.id()))) {
        case VALID -> accept(replica);
        case LEAVING -> accept(replica.asLeaving());
        case UNPROVEN -> restoredEntries.holdBack(replica);
        case SUPERSEDED -> {
          continue;
        }
        default -> throw new IllegalStateException("unknown verdict for replica " + replica.id());
      }
      present.add(replica.id());
    }
    table.missingIn(present).forEach(this::remove);
  }

  /**
   * Removes expired entries whose grace period has ended, and adds the replicas that have proved
   * alive.
   */
  public void expire() {
    table.expire();
    restoredEntries.takeProven().forEach(this::put);
  }

  /** Returns the record of a replica. */
  public Optional<Replica> find(String id) {
    return table.find(id);
  }

  /** Returns all records, including those of leaving replicas. */
  public List<Replica> all() {
    return table.all();
  }
}
