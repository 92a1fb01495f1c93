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
import org.coltsfootvale.core.store.LapsingTable;

/** The replicas that this router believes in. Confined to one thread. */
public final class ReplicaTable {

  /** Hears of replicas that come, change and go. */
  public interface Listener {

    /** Tells that a replica may be used, or that its record has changed. */
    void onReplica(Replica replica);

    /** Tells that a replica gets no new work any more. */
    void onDeparture(Replica replica);
  }

  private final Listener listener;
  private final LapsingTable<Replica> table;
  private final Map<HostPort, Set<String>> idsByAddress = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param lapseGrace how long after the store's return an entry that lapsed may still come back
   * @param nanoTime the monotonic clock in nanoseconds
   * @param listener hears of changes
   */
  public ReplicaTable(Duration lapseGrace, LongSupplier nanoTime, Listener listener) {
    this.listener = listener;
    this.table = new LapsingTable<>(lapseGrace, nanoTime, (id, replica) -> onDropped(replica));
  }

  private void onDropped(Replica replica) {
    forgetAddress(replica);
    listener.onDeparture(replica);
  }

  private void forgetAddress(Replica replica) {
    Set<String> ids = idsByAddress.getOrDefault(replica.address(), new HashSet<>());
    ids.remove(replica.id());
    if (ids.isEmpty()) {
      idsByAddress.remove(replica.address());
    }
  }

  /** Takes note that the store was out of reach until now, so that entries may have lapsed. */
  public void storeReturned() {
    table.storeReturned();
  }

  /** Takes an entry as the store holds it. */
  public void put(Replica replica) {
    Optional<Replica> known = table.put(replica.id(), replica);
    known.ifPresent(this::forgetAddress);
    idsByAddress.computeIfAbsent(replica.address(), address -> new HashSet<>()).add(replica.id());
    boolean leftBefore =
        known.filter(before -> before.leaving() && before.sameIncarnation(replica)).isPresent();
    if (leftBefore && !replica.leaving()) {
      // A departure is never taken back, so this record is older than what was known.
      table.put(replica.id(), replica.asLeaving());
      return;
    }
    known.filter(before -> !before.sameIncarnation(replica)).ifPresent(listener::onDeparture);
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

  /** Returns the records that name the address of a replica. */
  private Stream<Replica> atSameAddress(Replica replica) {
    return idsByAddress.getOrDefault(replica.address(), Set.of()).stream()
        .flatMap(id -> table.find(id).stream());
  }

  /** An address belongs to the server that started last; entries of dead ones lapse later. */
  private static boolean supersedes(Replica later, Replica earlier) {
    return later.address().equals(earlier.address()) && later.bornMillis() > earlier.bornMillis();
  }

  /** Takes another router's word that a replica has announced its departure. */
  public void leaves(String id) {
    table
        .find(id)
        .filter(replica -> !replica.leaving())
        .ifPresent(replica -> put(replica.asLeaving()));
  }

  /** Takes note that an entry was deleted, or names no usable replica. */
  public void remove(String id) {
    boolean announced = table.find(id).map(Replica::leaving).orElse(false);
    table.remove(id, announced);
  }

  /** Takes a whole reading of the store: replicas that it lacks are removed. */
  public void replaceAll(List<Replica> entries) {
    Set<String> present = new HashSet<>();
    for (Replica replica : entries) {
      present.add(replica.id());
      put(replica);
    }
    table.missingIn(present).forEach(this::remove);
  }

  /** Drops the lapsed entries whose grace period has ended. */
  public void expire() {
    table.expire();
  }

  /** Returns the record of a replica. */
  public Optional<Replica> find(String id) {
    return table.find(id);
  }

  /** Returns all records, those of leaving replicas included. */
  public List<Replica> all() {
    return table.all();
  }
}
