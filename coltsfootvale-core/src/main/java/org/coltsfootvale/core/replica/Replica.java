package org.coltsfootvale.core.replica;

import org.coltsfootvale.core.model.HostPort;

/**
 * One incarnation of a backend server.
 *
 * @param id the id under which the server registered
 * @param startedMillis the start time in Unix milliseconds; it differs after a restart under the
 *     same id
 * @param service the service that the server belongs to
 * @param address the address for requests
 * @param dataCentre the data centre it runs in
 * @param slots the number of requests that it processes concurrently
 * @param leaving whether the server has announced its departure
 */
public record Replica(
    String id,
    long startedMillis,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean leaving) {

  /** Returns a copy that is marked as leaving. */
  Replica asLeaving() {
    return new Replica(id, startedMillis, service, address, dataCentre, slots, true);
  }

  /** Returns whether another record describes the same incarnation. */
  public boolean sameIncarnation(Replica other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
