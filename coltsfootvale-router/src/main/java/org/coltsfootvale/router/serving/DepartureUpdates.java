package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.replica.Departure;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.protocol.wire.ReplicaDeparture;
import org.coltsfootvale.protocol.wire.RouterUpdate;

/** Exchanges the departures of replicas between routers. Confined to the serving loop. */
final class DepartureUpdates {

  /** How long a departure is repeated in updates, so that a lost message does no harm. */
  private static final Duration REPEAT_PERIOD = Duration.ofSeconds(1);

  private final ReplicaTable replicas;
  private final LongSupplier nanoTime;
  private final Map<ReplicaDeparture, Long> announcedNanos = new HashMap<>();

  DepartureUpdates(ReplicaTable replicas, LongSupplier nanoTime) {
    this.replicas = replicas;
    this.nanoTime = nanoTime;
  }

  /** Records that a replica has announced its departure. */
  void recordAnnounced(Replica replica) {
    Departure departure = new Departure(replica.id(), replica.startedMillis(), true, 0);
    announcedNanos.put(message(departure), nanoTime.getAsLong());
  }

  /** Returns the departures that were announced recently. */
  List<ReplicaDeparture> recent() {
    long oldest = nanoTime.getAsLong() - REPEAT_PERIOD.toNanos();
    announcedNanos.values().removeIf(nanos -> nanos - oldest < 0);
    return List.copyOf(announcedNanos.keySet());
  }

  /** Returns all remembered departures. */
  List<ReplicaDeparture> all() {
    return replicas.departures().stream().map(DepartureUpdates::message).toList();
  }

  /** Applies the departures in an update from another router. */
  void onUpdate(RouterUpdate update) {
    for (ReplicaDeparture message : update.getDeparturesList()) {
      replicas.onPeerDeparture(
          new Departure(
              message.getId(), message.getBornMillis(), message.getAnnounced(), message.getEra()));
    }
  }

  private static ReplicaDeparture message(Departure departure) {
    return ReplicaDeparture.newBuilder()
        .setId(departure.id())
        .setBornMillis(departure.startedMillis())
        .setAnnounced(departure.announced())
        .setEra(departure.era())
        .build();
  }
}
