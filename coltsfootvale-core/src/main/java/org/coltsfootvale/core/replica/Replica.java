package org.coltsfootvale.core.replica;

import org.coltsfootvale.core.model.HostPort;

/**
 * One start of a backend server.
 *
 * @param id the name that the server registered under
 * @param startedMillis the time of its start in Unix milliseconds; a restart under the same id has
 *     another one
 * @param service the service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre where it runs
 * @param slots how many requests it processes at once
 * @param leaving whether it has announced its departure
 */
public record Replica(
    String id,
    long startedMillis,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean leaving) {

  /** Returns the record of the same replica that has announced its departure. */
  Replica asLeaving() {
    return new Replica(id, startedMillis, service, address, dataCentre, slots, true);
  }

  /** Returns whether another record tells of the same start of the same server. */
  public boolean sameIncarnation(Replica other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
