package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.dispatch.DispatchOptions;
import org.coltsfootvale.core.dispatch.PeerPlacements;
import org.coltsfootvale.core.dispatch.PromptLocations;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.routing.RoutedService;
import org.coltsfootvale.core.routing.RoutingState;

/**
 * What this router believes while it serves: the desired state, the replicas of each service, and
 * whether it takes new work. Confined to the serving loop.
 */
public final class ServingState implements ReplicaTable.Listener {

  private final DispatchOptions options;
  private final String ownDataCentre;
  private final PromptLocations locations;
  private final PeerPlacements peers;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private Optional<RoutingState> routing = Optional.empty();
  private boolean draining;
  private int active;

  /**
   * Creates a state that knows nothing yet.
   *
   * @param options the limits of waiting and placing
   * @param ownDataCentre the data centre of this router
   * @param locations where parts of prompts are cached
   * @param peers what the other routers have placed
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random breaks ties
   */
  public ServingState(
      DispatchOptions options,
      String ownDataCentre,
      PromptLocations locations,
      PeerPlacements peers,
      LongSupplier nanoTime,
      UniformRandomProvider random) {
    this.options = options;
    this.ownDataCentre = ownDataCentre;
    this.locations = locations;
    this.peers = peers;
    this.nanoTime = nanoTime;
    this.random = random;
  }

  /** Takes a version of the desired state unless a later one is known. */
  public void accept(RoutingState latest) {
    if (routing.map(known -> known.version() < latest.version()).orElse(true)) {
      routing = Optional.of(latest);
    }
  }

  /** Returns the desired state, if one is known. */
  public Optional<RoutingState> routing() {
    return routing;
  }

  /** Returns the dispatcher of a service. */
  public ServiceDispatcher dispatcher(String service) {
    return dispatchers.computeIfAbsent(
        service,
        name -> new ServiceDispatcher(options, ownDataCentre, locations, peers, nanoTime, random));
  }

  @Override
  public void onReplica(Replica replica) {
    dispatcher(replica.service()).addReplica(replica);
  }

  @Override
  public void onDeparture(Replica replica) {
    dispatcher(replica.service()).removeReplica(replica);
  }

  /** Returns whether a replica still gets new work. */
  public boolean uses(ReplicaState replica) {
    return dispatcher(replica.replica().service()).uses(replica);
  }

  /** Returns this router's requests at each replica, by the hash of the replica's id. */
  Map<Long, Integer> inFlightByReplica() {
    Map<Long, Integer> inFlight = new HashMap<>();
    for (ServiceDispatcher dispatcher : dispatchers.values()) {
      for (ReplicaState replica : dispatcher.replicas()) {
        if (replica.inFlight() > 0) {
          inFlight.put(replica.nameHash(), replica.inFlight());
        }
      }
    }
    return inFlight;
  }

  /** Returns the replicas in use that have a cache of prompts. */
  List<Replica> engines() {
    List<Replica> engines = new ArrayList<>();
    routing.ifPresent(
        known ->
            dispatchers.forEach(
                (service, dispatcher) -> {
                  if (known.service(service).filter(RoutedService::engine).isPresent()) {
                    dispatcher.replicas().forEach(state -> engines.add(state.replica()));
                  }
                }));
    return engines;
  }

  /** Moves waiting requests on. */
  public void tick() {
    dispatchers.values().forEach(ServiceDispatcher::placeWaiting);
  }

  /** Asks callers to go elsewhere from now on. */
  public void drain() {
    draining = true;
  }

  /** Returns whether callers are asked to go elsewhere. */
  public boolean draining() {
    return draining;
  }

  /** Counts a request that has begun. */
  void requestBegun() {
    active++;
  }

  /** Counts a request that has ended. */
  void requestEnded() {
    active--;
  }

  /** Returns the number of requests in progress. */
  public int active() {
    return active;
  }

  /** Returns a time after which a caller finds this router informed. */
  public Duration retryWhenUninformed() {
    return Duration.ofMillis(250 + random.nextInt(250));
  }

  /** Returns a random number in [0, 1). */
  public double nextRandom() {
    return random.nextDouble();
  }
}
