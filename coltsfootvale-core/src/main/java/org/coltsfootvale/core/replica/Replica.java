package org.coltsfootvale.core.replica;

import java.time.Duration;
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
 * @param coldLeft how long it stays cold, counted from when the entry was received
 */
public record Replica(
    String id,
    long startedMillis,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean leaving,
    Duration coldLeft) {

  /** Creates a record of a server that is not cold. */
  public Replica(
      String id,
      long startedMillis,
      String service,
      HostPort address,
      String dataCentre,
      int slots,
      boolean leaving) {
    this(id, startedMillis, service, address, dataCentre, slots, leaving, Duration.ZERO);
  }

  /** Returns a copy that is marked as leaving. */
  Replica asLeaving() {
    return new Replica(id, startedMillis, service, address, dataCentre, slots, true, coldLeft);
  }

  /** Returns whether another record describes the same incarnation. */
  public boolean sameIncarnation(Replica other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
