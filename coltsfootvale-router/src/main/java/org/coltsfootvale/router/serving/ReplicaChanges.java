package org.coltsfootvale.router.serving;

import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;

/** Keeps the serving state up to date, and the other routers informed of departures. */
final class ReplicaChanges implements ReplicaTable.Listener {

  private final ServingState state;
  private final DepartureNews departures;

  ReplicaChanges(ServingState state, DepartureNews departures) {
    this.state = state;
    this.departures = departures;
  }

  @Override
  public void onReplica(Replica replica) {
    state.onReplica(replica);
  }

  @Override
  public void onDeparture(Replica replica) {
    state.onDeparture(replica);
    if (replica.leaving()) {
      departures.departing(replica);
    }
  }
}
