package org.coltsfootvale.core.placement;

import java.util.Set;
import org.coltsfootvale.core.model.ServiceId;
import org.coltsfootvale.core.release.ServiceSpec;

/** Chooses the backend server of a plain service for each request. Thread-safe. */
public interface ReplicaSelector {

  /**
   * Chooses a replica and counts the request against it until the selection is released.
   *
   * @param service the service
   * @param repeatable whether the request may be used to probe a replica that has failed
   * @param excluded ids of replicas that have already failed or refused this request
   * @throws org.coltsfootvale.core.error.ColtsfootvaleException UNKNOWN_SERVICE if no release note
   *     has added it, NO_BACKEND with a retry delay if no replica can take the request; both with
   *     outcome NOT_RUN
   */
  Selection select(ServiceId service, boolean repeatable, Set<String> excluded);

  /** A chosen replica. */
  interface Selection {

    /** Returns the replica. */
    ServiceSpec.Replica replica();

    /** Stops counting the request; later calls have no effect. */
    void release();
  }
}
