package org.coltsfootvale.core.dispatch;

import java.util.Optional;
import org.coltsfootvale.core.model.HostPort;

/**
 * A replica for a request, with what has decided it.
 *
 * @param replica the replica
 * @param basis why it was chosen
 * @param loadEstimate the requests of all routers that it is taken to work on, without this one
 * @param meanLoad the mean of these over the replicas of the service
 * @param candidates the replicas that could have taken the request
 * @param cached how much of the prompt is in caches
 */
public record Placement(
    ReplicaState replica,
    Basis basis,
    double loadEstimate,
    double meanLoad,
    int candidates,
    CachedPrefix cached) {

  /** Why a replica was chosen. */
  public enum Basis {
    /** It holds the shared part of the prompt, and its load allows more. */
    HOLDS_PART,
    /** No replica that holds the part can take more; this one is its home by rendezvous hashing. */
    RANKED_FIRST,
    /** It has the least load. */
    LEAST_LOADED
  }

  Placement withCached(CachedPrefix beginning) {
    return new Placement(replica, basis, loadEstimate, meanLoad, candidates, beginning);
  }

  /** Returns a replica that holds what the chosen one lacks of the prompt, if any. */
  public Optional<HostPort> cacheSource() {
    return cached.source();
  }
}
