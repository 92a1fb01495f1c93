package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.ColdAdmission;
import org.coltsfootvale.core.dispatch.DispatchOptions;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.registry.LoopLagDetector;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.routing.RoutedService;
import org.coltsfootvale.core.routing.RoutingState;

/**
 * The view that this router serves from: the desired state, the replicas of each service, and
 * whether it accepts new requests. Confined to the serving loop.
 */
public final class ServingState implements ReplicaTable.Listener {

  /**
   * Minimum retry delay for callers of a router that has just started. The desired state is known
   * about 0.4 s after the router starts to listen, 0.8 s if the store does not answer at first;
   * many callers retry only once.
   */
  private static final Duration INITIAL_RETRY_MIN = Duration.ofMillis(500);

  private static final int INITIAL_RETRY_SPREAD_MILLIS = 500;

  /** Short, as other routers are ready; spread, as many callers are refused at once. */
  private static final Duration DRAIN_RETRY_MIN = Duration.ofMillis(100);

  private static final int DRAIN_RETRY_SPREAD_MILLIS = 200;

  private final DispatchOptions options;
  private final String ownDataCentre;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts peerRequestCounts;
  private final PromptQuarantine quarantine;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;
  private final DecisionLog log;
  private final LoopLagDetector lagDetector;
  private final Function<Supplier<Optional<RoutedService>>, ColdAdmission> coldAdmissions;
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private Optional<RoutingState> routing = Optional.empty();
  private Set<String> evacuated = Set.of();
  private long desiredStateAppliedNanos;
  private Predicate<Duration> drainAdmission = timeLeft -> true;
  private boolean draining;
  private int active;

  /**
   * Creates a view without a desired state or replicas.
   *
   * @param options the limits of queueing and placement
   * @param ownDataCentre the data centre of this router
   * @param locations where prompt parts are cached
   * @param peerRequestCounts the requests of other routers at each replica
   * @param quarantine the prompt parts that are kept from replicas
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random breaks ties
   * @param log records changes of the view
   * @param lagDetector detects whether this router is lagging
   * @param coldAdmissions creates the limit on requests to the cold replicas of a service
   */
  public ServingState(
      DispatchOptions options,
      String ownDataCentre,
      PromptCacheLocations locations,
      PeerRequestCounts peerRequestCounts,
      PromptQuarantine quarantine,
      LongSupplier nanoTime,
      UniformRandomProvider random,
      DecisionLog log,
      LoopLagDetector lagDetector,
      Function<Supplier<Optional<RoutedService>>, ColdAdmission> coldAdmissions) {
    this.coldAdmissions = coldAdmissions;
    this.options = options;
    this.ownDataCentre = ownDataCentre;
    this.locations = locations;
    this.peerRequestCounts = peerRequestCounts;
    this.quarantine = quarantine;
    this.nanoTime = nanoTime;
    this.random = random;
    this.log = log;
    this.lagDetector = lagDetector;
  }

  /**
   * Applies a version of the desired state unless one as recent is applied already; returns whether
   * it did.
   *
   * @param latest the desired state
   * @param revision the store's revision of it
   */
  public boolean applyDesiredState(RoutingState latest, long revision) {
    boolean newer = routing.map(current -> current.version() < latest.version()).orElse(true);
    if (newer) {
      routing = Optional.of(latest);
      desiredStateAppliedNanos = nanoTime.getAsLong();
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

  /** Returns how long ago the current desired state was applied here. */
  Duration desiredStateAge() {
    return Duration.ofNanos(
        routing.isEmpty() ? 0 : nanoTime.getAsLong() - desiredStateAppliedNanos);
  }

  /** Returns the desired state, if one is known. */
  public Optional<RoutingState> routing() {
    return routing;
  }

  /** Returns the dispatcher of a service. */
  public ServiceDispatcher dispatcher(String service) {
    return dispatchers.computeIfAbsent(
        service,
        name -> {
          ServiceDispatcher added =
              new ServiceDispatcher(
                  options,
                  ownDataCentre,
                  locations,
                  peerRequestCounts,
                  quarantine,
                  nanoTime,
                  random,
                  coldAdmissions.apply(() -> routing.flatMap(current -> current.service(name))));
          added.setEvacuated(evacuated);
          return added;
        });
  }

  /** Starts or ends the evacuation of a data centre. */
  void setEvacuated(String dataCentre, boolean on) {
    Set<String> latest = new HashSet<>(evacuated);
    if (on) {
      latest.add(dataCentre);
    } else {
      latest.remove(dataCentre);
    }
    setEvacuated(latest);
  }

  /** Replaces the data centres whose replicas get no requests. */
  void setEvacuated(Set<String> latest) {
    if (latest.equals(evacuated)) {
      return;
    }
    Set<String> previous = evacuated;
    evacuated = Set.copyOf(latest);
    logDifference(DecisionEvent.DATA_CENTRE_EVACUATED, evacuated, previous);
    logDifference(DecisionEvent.DATA_CENTRE_READMITTED, previous, evacuated);
    // A refused request may be followed by one for a service that has no dispatcher yet.
    for (ServiceDispatcher dispatcher : List.copyOf(dispatchers.values())) {
      dispatcher.setEvacuated(evacuated);
    }
  }

  /** Logs the data centres that are in one set and not in another. */
  private void logDifference(DecisionEvent event, Set<String> present, Set<String> absent) {
    for (String dataCentre : present) {
      if (!absent.contains(dataCentre)) {
        List<ReplicaState> affected =
            dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.replicas().stream())
                .filter(replica -> replica.replica().dataCentre().equals(dataCentre))
                .toList();
        log.record(
            Decision.of(event)
                .with("data_centre", dataCentre)
                .with("replicas", affected.size())
                .with("in_progress", affected.stream().mapToInt(ReplicaState::inFlight).sum()));
      }
    }
  }

  /** Returns the data centres whose replicas get no requests. */
  Set<String> evacuated() {
    return evacuated;
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

  /** Returns whether a replica still receives new requests. */
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

  /** Returns the time left of the pauses that replicas have requested, by the hash of their ids. */
  Map<Long, Duration> pauses() {
    Map<Long, Duration> pauses = new HashMap<>();
    dispatchers.values().forEach(dispatcher -> pauses.putAll(dispatcher.pauses()));
    return pauses;
  }

  /** Records a pause that a replica has requested from another router. */
  void recordPeerPause(long replica, Duration left) {
    dispatchers.values().forEach(dispatcher -> dispatcher.onPeerPause(replica, left));
  }

  /** Returns the replicas in use, outside evacuated data centres, that have a prompt cache. */
  List<Replica> engines() {
    List<Replica> engines = new ArrayList<>();
    routing.ifPresent(
        current ->
            dispatchers.forEach(
                (service, dispatcher) -> {
                  if (current.service(service).filter(RoutedService::engine).isPresent()) {
                    dispatcher.replicas().stream()
                        .filter(replica -> !replica.evacuated())
                        .forEach(replica -> engines.add(replica.replica()));
                  }
                }));
    return engines;
  }

  /** Returns the prompt parts that are kept from replicas. */
  PromptQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the dispatchers by the names of their services. */
  Map<String, ServiceDispatcher> dispatchers() {
    return Collections.unmodifiableMap(dispatchers);
  }

  /** Places waiting requests. */
  public void tick() {
    dispatchers.values().forEach(ServiceDispatcher::placeWaiting);
  }

  /**
   * Directs callers to other routers from now on.
   *
   * @param admission whether to accept a request with the given time until its deadline
   */
  public void drain(Predicate<Duration> admission) {
    draining = true;
    drainAdmission = admission;
  }

  /** Returns whether to accept a request with the given time until its deadline. */
  boolean accepts(Duration timeLeft) {
    return drainAdmission.test(timeLeft);
  }

  /** Returns whether callers are directed to other routers. */
  public boolean draining() {
    return draining;
  }

  /**
   * Returns whether requests may have waited unread so long that their callers have disconnected.
   */
  boolean laggingOrBlocked() {
    return lagDetector.laggingOrBlocked();
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

  /** Returns the retry delay for callers while the desired state is unknown. */
  public Duration initialRetryDelay() {
    return INITIAL_RETRY_MIN.plusMillis(random.nextInt(INITIAL_RETRY_SPREAD_MILLIS));
  }

  /** Returns the retry delay for callers of a stopping router, who should use another one. */
  Duration drainRetryDelay() {
    return DRAIN_RETRY_MIN.plusMillis(random.nextInt(DRAIN_RETRY_SPREAD_MILLIS));
  }

  /** Returns a random number in [0, 1). */
  public double nextRandom() {
    return random.nextDouble();
  }
}
