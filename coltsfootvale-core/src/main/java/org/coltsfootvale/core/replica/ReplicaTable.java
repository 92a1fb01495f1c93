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
  private final ExpiringTable<Replica> table;
  private final RestoredEntryValidator restored;
  private final Map<HostPort, Set<String>> idsByAddress = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param lapseGrace how long after the store's return an entry that lapsed may still come back
   * @param nanoTime the monotonic clock in nanoseconds
   * @param era the latest era of the store
   * @param listener hears of changes
   */
  public ReplicaTable(
      Duration lapseGrace, LongSupplier nanoTime, LongSupplier era, Listener listener) {
    this.listener = listener;
    this.restored = new RestoredEntryValidator(nanoTime, era);
    this.table = new ExpiringTable<>(lapseGrace, nanoTime, (id, replica) -> onDropped(replica));
  }

  private void onDropped(Replica replica) {
    forgetAddress(replica);
    restored.departed(replica, replica.leaving());
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
    table.onStoreRecovered();
  }

  /** Takes an entry as the replica has written it. */
  public void put(Replica replica) {
    accept(restored.written(replica) ? replica.asLeaving() : replica);
  }

  private void accept(Replica replica) {
    Optional<Replica> known = table.put(replica.id(), replica);
    known.ifPresent(this::forgetAddress);
    idsByAddress.computeIfAbsent(replica.address(), address -> new HashSet<>()).add(replica.id());
    boolean leftBefore =
        known.filter(before -> before.leaving() && before.sameIncarnation(replica)).isPresent();
    if (leftBefore) {
      // A departure is never taken back, so this record is older than what was known.
      table.put(replica.id(), replica.asLeaving());
      return;
    }
    known.filter(before -> !before.sameIncarnation(replica)).ifPresent(listener::onDeparture);
    if (replica.leaving()) {
      restored.departed(replica, true);
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

  /** Returns the records that name the address of a replica. */
  private Stream<Replica> atSameAddress(Replica replica) {
    return idsByAddress.getOrDefault(replica.address(), Set.of()).stream()
        .flatMap(id -> table.find(id).stream());
  }

  /** An address belongs to the server that started last; entries of dead ones lapse later. */
  private static boolean supersedes(Replica later, Replica earlier) {
    return later.address().equals(earlier.address())
        && later.startedMillis() > earlier.startedMillis();
  }

  /** Takes note that a replica has announced its departure elsewhere than in the store. */
  public void onDepartureAnnounced(String id, long bornMillis) {
    table
        .find(id)
        .filter(replica -> replica.startedMillis() == bornMillis && !replica.leaving())
        .ifPresent(replica -> accept(replica.asLeaving()));
  }

  /** Takes another router's word of a departure. */
  public void onPeerDeparture(Departure departure) {
    restored.remember(departure);
    if (departure.announced()) {
      onDepartureAnnounced(departure.id(), departure.startedMillis());
      return;
    }
    // This router may have read the entry in a store that was restored since.
    table
        .find(departure.id())
        .filter(
            replica ->
                restored.judge(replica, Optional.empty())
                    == RestoredEntryValidator.Verdict.UNPROVEN)
        .ifPresent(
            replica -> {
              restored.hold(replica);
              table.remove(replica.id(), true);
            });
  }

  /** Returns the departures that are remembered, for a router that has just started. */
  public List<Departure> departures() {
    return restored.departures();
  }

  /** Takes note that an entry was deleted, or names no usable replica. */
  public void remove(String id) {
    restored.removed(id);
    boolean announced = table.find(id).map(Replica::leaving).orElse(false);
    table.remove(id, announced);
  }

  /** Takes a whole reading of the store: replicas that it lacks are removed. */
  public void replaceAll(List<Replica> entries) {
    Set<String> present = new HashSet<>();
    for (Replica replica : entries) {
      present.add(replica.id());
      if (!restored.holds(replica)) {
        put(replica);
      }
    }
    table.missingIn(present).forEach(this::remove);
  }

  /**
   * Takes a whole reading of a store that was restored from a copy. What has departed since the
   * copy was taken does not come back by it; what the copy lacks may still be written again.
   */
  public void restoreAll(List<Replica> entries) {
    Set<String> present = new HashSet<>();
    for (Replica replica : entries) {
      switch (restored.judge(replica, table.find(replica.id()))) {
        case VALID -> accept(replica);
        case LEAVING -> accept(replica.asLeaving());
        case UNPROVEN -> restored.hold(replica);
        case SUPERSEDED -> {
          continue;
        }
        default -> throw new IllegalStateException("unknown verdict on " + replica.id());
      }
      present.add(replica.id());
    }
    table.missingIn(present).forEach(this::remove);
  }

  /** Drops the lapsed entries whose grace period has ended, and takes in what has proved alive. */
  public void expire() {
    table.expire();
    restored.proven().forEach(this::put);
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
