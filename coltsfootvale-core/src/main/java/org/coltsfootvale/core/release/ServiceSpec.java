package org.coltsfootvale.core.release;

import java.net.URI;
import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.ServiceId;

/**
 * A service whose backend servers are not engines.
 *
 * @param id its name, the path segment after {@code /v1/services/}
 * @param replicas its backend servers; at least one
 * @param bodyBytesMax the maximum size of a forwarded request body in bytes
 */
public record ServiceSpec(ServiceId id, List<Replica> replicas, int bodyBytesMax) {

  /** Copies the list. */
  public ServiceSpec {
    replicas = List.copyOf(replicas);
  }

  /**
   * One backend server of a service.
   *
   * @param id its name, unique in the fleet
   * @param address its base address
   * @param dataCentre the data centre where it runs
   */
  public record Replica(String id, URI address, DataCentreId dataCentre) {}
}
