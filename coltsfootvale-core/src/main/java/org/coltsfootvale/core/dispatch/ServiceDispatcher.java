package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.SlidingWindowCounter;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches the requests of one service to its replicas, and queues them while no replica is
 * available. Confined to one thread.
 */
public final class ServiceDispatcher {

  /** The capacity of the queue; beyond it the least urgent request is refused. */
  private static final int WAITING_MAX = 512;

  /** The window over which the completion rate is measured for retry delays. */
  private static final Duration RATE_WINDOW = Duration.ofSeconds(2);

  private final DispatchOptions options;
  private final PromptQuarantine quarantine;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;
  private final ColdAdmission coldAdmission;
  private final ReplicaSelectionStrategy prefixAffinity;
  private final ReplicaSelectionStrategy leastLoaded;
  private final PromptCacheLocations locations;
  private final Map<String, ReplicaState> replicas = new HashMap<>();
  private final CachedPrefixLookup cachedPrefixes;
  private final WaitingQueue waiting = new WaitingQueue(this::waitEndNanos);
  private final OpenReplicas openReplicas;
  private final SlidingWindowCounter completions = new SlidingWindowCounter(RATE_WINDOW.toNanos());
  private Set<String> evacuated = Set.of();

  /**
   * Creates the dispatcher of a service.
   *
   * @param options the limits for queueing and placing
   * @param ownDataCentre the data centre of this router
   * @param locations the known locations of cached prompt parts
   * @param peers the requests placed by other routers
   * @param quarantine decides which prompts may reach replicas
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random breaks ties and spreads retry delays
   * @param coldAdmission limits the requests to cold replicas
   */
  public ServiceDispatcher(
      DispatchOptions options,
      String ownDataCentre,
      PromptCacheLocations locations,
      PeerRequestCounts peers,
      PromptQuarantine quarantine,
      LongSupplier nanoTime,
      UniformRandomProvider random,
      ColdAdmission coldAdmission) {
    this.coldAdmission = coldAdmission;
    this.options = options;
    this.quarantine = quarantine;
    this.nanoTime = nanoTime;
    this.random = random;
    this.locations = locations;
    this.cachedPrefixes = new CachedPrefixLookup(options, locations, replicas.values(), nanoTime);
    this.openReplicas = new OpenReplicas(options, peers);
    this.prefixAffinity = new PrefixAffinityStrategy(options, locations, peers, nanoTime);
    this.leastLoaded = new LeastLoadedStrategy(options, ownDataCentre, peers, nanoTime, random);
  }

  /** Adds a replica or updates its record; returns whether it was not in use before. */
  public boolean addReplica(Replica replica) {
    coldAdmission.onEntry(replica);
    ReplicaState current = replicas.get(replica.id());
    if (current != null && current.replica().sameIncarnation(replica)) {
      current.update(replica, nanoTime.getAsLong());
      current.setEvacuated(evacuated.contains(replica.dataCentre()));
      return false;
    }
    ReplicaState added =
        new ReplicaState(replica, new ReplicaHealth(nanoTime), coldAdmission, nanoTime.getAsLong());
    added.setEvacuated(evacuated.contains(replica.dataCentre()));
    replicas.put(replica.id(), added);
    placeWaiting();
    return true;
  }

  /** Sets the data centres whose replicas get no requests, instead of those set before. */
  public void setEvacuated(Set<String> dataCentres) {
    evacuated = Set.copyOf(dataCentres);
    for (ReplicaState state : replicas.values()) {
      state.setEvacuated(evacuated.contains(state.replica().dataCentre()));
    }
    placeWaiting();
  }

  /** Stops placing requests at a replica; returns whether it was in use. */
  public boolean removeReplica(Replica replica) {
    ReplicaState current = replicas.get(replica.id());
    if (current == null || !current.replica().sameIncarnation(replica)) {
      return false;
    }
    replicas.remove(replica.id());
    coldAdmission.onRemoved(replica);
    cachedPrefixes.onDeparture(current);
    return true;
  }

  /** Returns whether requests are still placed at a replica. */
  public boolean uses(ReplicaState state) {
    return replicas.get(state.replica().id()) == state;
  }

  /** Returns the replicas in use. */
  public List<ReplicaState> replicas() {
    return List.copyOf(replicas.values());
  }

  /** Returns the number of queued requests. */
  public int waiting() {
    return waiting.size();
  }

  /** Places a request, queues it, or refuses it. */
  public void submit(DispatchRequest request) {
    Optional<Duration> quarantined = quarantine.refusal(request.partKeys());
    if (quarantined.isPresent()) {
      request.onRefused(new Refusal(Refusal.Reason.PROMPT_QUARANTINED, quarantined.get()));
      return;
    }
    Placement selection = selectReplica(request);
    if (selection != null) {
      place(request, selection);
    } else if (excludesAll(request) || earliestPlacementNanos() >= waitEndNanos(request)) {
      request.onRefused(refusal(request));
    } else {
      enqueue(request);
    }
  }

  /** Removes a request from the queue without calling its callbacks. */
  public void cancel(DispatchRequest request) {
    waiting.remove(request);
  }

  /** Records that a replica has ended work on a request, and places queued requests. */
  public void release(ReplicaState replica) {
    replica.onRequestEnded();
    completions.add(nanoTime.getAsLong());
    placeWaiting();
  }

  /**
   * Records that a replica has requested a pause from this router.
   *
   * @return the pause granted
   */
  public Duration pause(ReplicaState replica, Duration requested) {
    return replica.health().pause(requested);
  }

  /** Records a pause that a replica has requested from another router. */
  public void onPeerPause(long nameHash, Duration remaining) {
    replicas.values().stream()
        .filter(replica -> replica.nameHash() == nameHash)
        .forEach(replica -> replica.health().onPeerPause(remaining));
  }

  /**
   * Returns the remaining pauses that replicas have requested from this router or a peer, by name
   * hash.
   */
  public Map<Long, Duration> pauses() {
    Map<Long, Duration> pauses = new HashMap<>();
    for (ReplicaState replica : replicas.values()) {
      Duration own = replica.health().pauseRemaining();
      Duration atPeers = replica.health().peerPauseRemaining();
      Duration longer = own.compareTo(atPeers) > 0 ? own : atPeers;
      if (!longer.isZero()) {
        pauses.put(replica.nameHash(), longer);
      }
    }
    return pauses;
  }

  /** Records a replica's load report. */
  public void onLoadReport(ReplicaState replica, LoadReport report) {
    replica.onLoadReport(report, nanoTime.getAsLong());
  }

  /** Places queued requests where possible and refuses those whose waiting time is over. */
  public void placeWaiting() {
    refuseQuarantined();
    if (waiting.isEmpty()) {
      return;
    }
    long earliestPlacementNanos = earliestPlacementNanos();
    // Availability is evaluated again only after a placement, not for each queued request.
    openReplicas.update(replicas.values(), nanoTime.getAsLong());
    if (queueIsBlocked(earliestPlacementNanos)) {
      return;
    }
    for (DispatchRequest request : waiting.copy()) {
      Placement selection = openReplicas.admits(request) ? selectReplica(request) : null;
      if (selection != null && waiting.remove(request)) {
        place(request, selection);
        openReplicas.update(replicas.values(), nanoTime.getAsLong());
        if (queueIsBlocked(earliestPlacementNanos)) {
          return;
        }
      } else if (selection == null
          && earliestPlacementNanos >= waitEndNanos(request)
          && waiting.remove(request)) {
        request.onRefused(refusal(request));
      }
    }
    waiting.updateEarliestEnd();
  }

  /** Returns whether no replica is open for any queued request and no waiting time has ended. */
  private boolean queueIsBlocked(long earliestPlacementNanos) {
    boolean open =
        (waiting.prompts() > 0 && openReplicas.anyForPrompts())
            || (waiting.others() > 0 && openReplicas.anyForOthers());
    return !open && earliestPlacementNanos < waiting.earliestEndNanos();
  }

  /** Refuses queued requests whose prompts were put into quarantine. */
  private void refuseQuarantined() {
    if (quarantine.isEmpty()) {
      return;
    }
    for (DispatchRequest request : waiting.copy()) {
      Optional<Duration> delay = quarantine.refusal(request.partKeys());
      if (delay.isPresent() && waiting.remove(request)) {
        request.onRefused(new Refusal(Refusal.Reason.PROMPT_QUARANTINED, delay.get()));
      }
    }
  }

  private void enqueue(DispatchRequest request) {
    int position = waiting.add(request);
    if (waiting.size() > WAITING_MAX) {
      DispatchRequest last = waiting.removeLast();
      last.onRefused(refusal(last));
    }
    if (position < WAITING_MAX) {
      request.onQueued(position, waiting.size());
    }
  }

  private void place(DispatchRequest request, Placement selection) {
    ReplicaState replica = selection.replica();
    replica.onRequestPlaced(request, nanoTime.getAsLong());
    Placement placement = selection;
    if (!request.description().prompt().isEmpty()) {
      placement = selection.withCached(cachedPrefixes.find(request, replica));
      quarantine.onSent(request.partKeys());
      request.sharedPrefixes().forEach(prefix -> locations.recordPlacement(prefix.hash(), replica));
    }
    request.onPlaced(placement);
  }

  private @Nullable Placement selectReplica(DispatchRequest request) {
    if (request.description().prompt().isEmpty()) {
      return leastLoaded.select(request, replicas.values());
    }
    return awaitsDiscovery(request) ? null : prefixAffinity.select(request, replicas.values());
  }

  /** Returns whether a prompt that is costly to prefill waits for cache discovery to end. */
  private boolean awaitsDiscovery(DispatchRequest request) {
    return !locations.complete()
        && request.description().sharedTokens() >= options.costlyPrefixTokens()
        && nanoTime.getAsLong() < waitEndNanos(request);
  }

  private long waitEndNanos(DispatchRequest request) {
    long waitMaxNanos = (long) (request.latencyGoalNanos() * options.queueTimeRatio());
    return Math.min(request.deadlineNanos(), request.arrivedNanos() + waitMaxNanos);
  }

  /**
   * Returns the earliest time at which a replica accepts requests: now, unless all are paused; the
   * maximum if all are in evacuated data centres.
   */
  private long earliestPlacementNanos() {
    long now = nanoTime.getAsLong();
    return allEvacuated() ? Long.MAX_VALUE : now + pauseLeftNanos(now);
  }

  private boolean allEvacuated() {
    return !evacuated.isEmpty()
        && !replicas.isEmpty()
        && replicas.values().stream().allMatch(ReplicaState::evacuated);
  }

  /**
   * Returns the time until the first pause ends if all replicas outside evacuated data centres are
   * paused, otherwise zero.
   */
  private Duration pauseLeft() {
    return Duration.ofNanos(pauseLeftNanos(nanoTime.getAsLong()));
  }

  private long pauseLeftNanos(long now) {
    if (replicas.isEmpty() || allEvacuated()) {
      return 0;
    }
    long soonest = ReplicaHealth.PAUSE_MAX.toNanos();
    for (ReplicaState replica : replicas.values()) {
      if (!replica.evacuated()) {
        soonest = Math.min(soonest, replica.health().pauseRemainingNanos(now));
      }
      if (soonest == 0) {
        break;
      }
    }
    return soonest;
  }

  private boolean excludesAll(DispatchRequest request) {
    return !replicas.isEmpty()
        && (!evacuated.isEmpty() || request.excludedReplicas() >= replicas.size())
        && replicas.values().stream()
            .allMatch(replica -> replica.evacuated() || request.excludes(replica));
  }

  private Refusal refusal(DispatchRequest request) {
    Refusal.Reason reason = Refusal.Reason.NO_CAPACITY;
    if (replicas.isEmpty()) {
      reason = Refusal.Reason.NO_REPLICA;
    } else if (allEvacuated()) {
      reason = Refusal.Reason.EVACUATED;
    } else if (!pauseLeft().isZero()) {
      reason = Refusal.Reason.REPLICAS_PAUSED;
    } else if (excludesAll(request)) {
      reason = Refusal.Reason.REJECTED;
    }
    return new Refusal(reason, retryDelay());
  }

  /** Returns the delay after which a refused caller should retry. */
  public Duration retryDelay() {
    long completed = completions.sum(nanoTime.getAsLong());
    return pauseLeft()
        .plus(RetryDelay.compute(waiting.size(), completed, RATE_WINDOW, random.nextDouble()));
  }
}
