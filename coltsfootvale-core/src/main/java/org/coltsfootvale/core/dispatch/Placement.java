package org.coltsfootvale.core.dispatch;

import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;

/**
 * The replica selected for a request, with the data the selection was based on.
 *
 * @param replica the replica
 * @param basis why it was selected
 * @param loadEstimate the estimated number of requests of all routers at the replica, without this
 *     one
 * @param meanLoad the mean estimate over the replicas of the service
 * @param candidates the number of replicas that could have taken the request
 * @param cached the cache state of the prompt
 */
public record Placement(
    ReplicaState replica,
    Basis basis,
    double loadEstimate,
    double meanLoad,
    int candidates,
    CachedPrefix cached) {

  /** The reason for a selection. */
  public enum Basis {
    /** The replica holds the shared part of the prompt and its load is within the bound. */
    HOLDS_PART,
    /**
     * No holder of the part can take more; the replica is the part's home by rendezvous hashing.
     */
    RANKED_FIRST,
    /** The replica has the least load. */
    LEAST_LOADED
  }

  Placement withCached(CachedPrefix prefix) {
    return new Placement(replica, basis, loadEstimate, meanLoad, candidates, prefix);
  }

  /** Returns the address of a replica that holds a longer prefix than the selected one, if any. */
  public Optional<HostPort> cacheSource() {
    return cached.source();
  }
}
