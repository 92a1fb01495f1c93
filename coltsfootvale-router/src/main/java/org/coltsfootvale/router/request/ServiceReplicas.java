package org.coltsfootvale.router.request;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.release.ServiceSpec;
import org.coltsfootvale.core.release.ServiceSpec.Replica;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the replica of a plain service for each request: the one with the fewest requests of this
 * router in progress, in this router's data centre if there is a choice.
 */
public final class ServiceReplicas {

  private final DataCentreId dataCentre;
  private final CircuitBreakers breakers;
  private final Map<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();
  private final AtomicInteger turn = new AtomicInteger();
  private volatile Set<String> leaving = Set.of();

  /** Creates a chooser for a router in the given data centre. */
  public ServiceReplicas(DataCentreId dataCentre, CircuitBreakers breakers) {
    this.dataCentre = dataCentre;
    this.breakers = breakers;
  }

  /** Replaces the ids of the replicas that leave and receive no new work. */
  public void setLeaving(Set<String> replicas) {
    leaving = Set.copyOf(replicas);
  }

  /**
   * Takes a replica; {@link #release} must follow.
   *
   * @param excluded ids of replicas that have failed or refused the request
   * @return null if none is left
   */
  @Nullable Replica take(ServiceSpec service, Set<String> excluded) {
    Set<String> unusable = new HashSet<>(excluded);
    unusable.addAll(leaving);
    @Nullable Replica best = best(service.replicas(), unusable);
    while (best != null && !breakers.tryAcquire(best.id())) {
      unusable.add(best.id());
      best = best(service.replicas(), unusable);
    }
    if (best != null) {
      counter(best).incrementAndGet();
    }
    return best;
  }

  private @Nullable Replica best(List<Replica> replicas, Set<String> unusable) {
    int start = Math.floorMod(turn.getAndIncrement(), replicas.size());
    @Nullable Replica best = null;
    for (int i = 0; i < replicas.size(); i++) {
      Replica candidate = replicas.get((start + i) % replicas.size());
      if (unusable.contains(candidate.id())) {
        continue;
      }
      if (best == null || cost(candidate) < cost(best)) {
        best = candidate;
      }
    }
    return best;
  }

  private int cost(Replica replica) {
    int remote = replica.dataCentre().equals(dataCentre) ? 0 : 1;
    return 2 * counter(replica).get() + remote;
  }

  private AtomicInteger counter(Replica replica) {
    return inProgress.computeIfAbsent(replica.id(), id -> new AtomicInteger());
  }

  /** Ends the account of a taken replica. */
  void release(Replica replica) {
    counter(replica).decrementAndGet();
  }
}
