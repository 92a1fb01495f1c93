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
import org.coltsfootvale.protocol.wire.ServingNews;

/** What routers tell each other of replicas that depart. Confined to the serving loop. */
final class DepartureNews {

  /** How long a departure is told again and again, so that a lost message does no harm. */
  private static final Duration TOLD = Duration.ofSeconds(1);

  private final ReplicaTable replicas;
  private final LongSupplier nanoTime;
  private final Map<ReplicaDeparture, Long> announcedNanos = new HashMap<>();

  DepartureNews(ReplicaTable replicas, LongSupplier nanoTime) {
    this.replicas = replicas;
    this.nanoTime = nanoTime;
  }

  /** Takes note that a replica has announced its departure. */
  void departing(Replica replica) {
    Departure departure = new Departure(replica.id(), replica.startedMillis(), true, 0);
    announcedNanos.put(message(departure), nanoTime.getAsLong());
  }

  /** Returns the departures that have been announced of late. */
  List<ReplicaDeparture> latest() {
    long oldest = nanoTime.getAsLong() - TOLD.toNanos();
    announcedNanos.values().removeIf(nanos -> nanos - oldest < 0);
    return List.copyOf(announcedNanos.keySet());
  }

  /** Returns all departures that are remembered. */
  List<ReplicaDeparture> all() {
    return replicas.departures().stream().map(DepartureNews::message).toList();
  }

  /** Takes the departures that another router tells. */
  void heard(ServingNews news) {
    for (ReplicaDeparture message : news.getDeparturesList()) {
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
