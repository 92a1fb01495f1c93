package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.DispatchOptions;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.registry.LoopLagDetector;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.routing.RoutedService;
import org.coltsfootvale.core.routing.RoutingState;

/**
 * What this router believes while it serves: the desired state, the replicas of each service, and
 * whether it takes new work. Confined to the serving loop.
 */
public final class ServingState implements ReplicaTable.Listener {

  /**
   * How long callers stay away at least from a router that has just started. It knows the desired
   * state about 0.4 s after it listens, 0.8 s when the store stays silent at first; many callers
   * come back only once.
   */
  private static final Duration UNINFORMED_RETRY_MIN = Duration.ofMillis(500);

  private static final int UNINFORMED_RETRY_SPREAD_MILLIS = 500;

  private final DispatchOptions options;
  private final String ownDataCentre;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts peers;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;
  private final DecisionLog log;
  private final LoopLagDetector lateness;
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private Optional<RoutingState> routing = Optional.empty();
  private long desiredStateNanos;
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
   * @param log takes changes of belief
   * @param lateness whether this router is late with its work
   */
  public ServingState(
      DispatchOptions options,
      String ownDataCentre,
      PromptCacheLocations locations,
      PeerRequestCounts peers,
      LongSupplier nanoTime,
      UniformRandomProvider random,
      DecisionLog log,
      LoopLagDetector lateness) {
    this.options = options;
    this.ownDataCentre = ownDataCentre;
    this.locations = locations;
    this.peers = peers;
    this.nanoTime = nanoTime;
    this.random = random;
    this.log = log;
    this.lateness = lateness;
  }

  /**
   * Takes a version of the desired state unless a later one is known; returns whether it did.
   *
   * @param latest the desired state
   * @param revision the store's revision of it
   */
  public boolean accept(RoutingState latest, long revision) {
    boolean newer = routing.map(known -> known.version() < latest.version()).orElse(true);
    if (newer) {
      routing = Optional.of(latest);
      desiredStateNanos = nanoTime.getAsLong();
      log.record(
          Decision.of(DecisionEvent.DESIRED_STATE_APPLIED)
              .with("version", latest.version())
              .with("revision", revision)
              .with("routes", latest.routeCount()));
    }
    return newer;
  }

  /** Returns the version of the desired state, 0 before one is known. */
  long desiredStateVersion() {
    return routing.map(RoutingState::version).orElse(0L);
  }

  /** Returns how long the desired state has been in force here. */
  Duration desiredStateAge() {
    return Duration.ofNanos(routing.isEmpty() ? 0 : nanoTime.getAsLong() - desiredStateNanos);
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
    if (dispatcher(replica.service()).addReplica(replica)) {
      log.record(describe(DecisionEvent.REPLICA_ADDED, replica));
    }
  }

  @Override
  public void onDeparture(Replica replica) {
    if (dispatcher(replica.service()).removeReplica(replica)) {
      log.record(
          describe(DecisionEvent.REPLICA_DEPARTED, replica).with("announced", replica.leaving()));
    }
  }

  private static Decision describe(DecisionEvent event, Replica replica) {
    return Decision.of(event)
        .with("replica", replica.id())
        .with("born_millis", replica.startedMillis())
        .with("service", replica.service())
        .with("address", replica.address().toString())
        .with("data_centre", replica.dataCentre());
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

  /** Returns the pauses that replicas have asked any router for, by the hash of their ids. */
  Map<Long, Duration> pauses() {
    Map<Long, Duration> pauses = new HashMap<>();
    dispatchers.values().forEach(dispatcher -> pauses.putAll(dispatcher.pauses()));
    return pauses;
  }

  /** Takes another router's word of a pause that a replica has asked for. */
  void heardPause(long replica, Duration left) {
    dispatchers.values().forEach(dispatcher -> dispatcher.onPeerPause(replica, left));
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

  /** Returns the dispatchers by the names of their services. */
  Map<String, ServiceDispatcher> dispatchers() {
    return Collections.unmodifiableMap(dispatchers);
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

  /** Returns whether requests may have waited unread, so that their callers may have left. */
  boolean behind() {
    return lateness.laggingOrBlocked();
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
    return UNINFORMED_RETRY_MIN.plusMillis(random.nextInt(UNINFORMED_RETRY_SPREAD_MILLIS));
  }

  /** Returns a random number in [0, 1). */
  public double nextRandom() {
    return random.nextDouble();
  }
}
