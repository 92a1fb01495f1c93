package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.model.HostPort;
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

  /** How long a departed replica still serves fetches from its cache. */
  private static final Duration DEPARTED_FETCH_MAX = Duration.ofSeconds(2);

  private static final Comparator<DispatchRequest> QUEUE_ORDER =
      Comparator.comparingInt(DispatchRequest::urgency)
          .thenComparingLong(work -> work.arrivedNanos() + work.latencyGoalNanos());

  private final DispatchOptions options;
  private final PeerRequestCounts peers;
  private final LongSupplier nanoTime;
  private final UniformRandomProvider random;
  private final ReplicaSelectionStrategy promptChoice;
  private final ReplicaSelectionStrategy leastLoadChoice;
  private final PromptCacheLocations locations;
  private final Map<String, ReplicaState> replicas = new HashMap<>();
  private final Map<Long, Departed> departed = new HashMap<>();
  private final List<DispatchRequest> waiting = new ArrayList<>();
  private final SlidingWindowCounter completions = new SlidingWindowCounter(RATE_WINDOW.toNanos());

  /**
   * Creates the dispatcher of a service.
   *
   * @param options the limits for queueing and placing
   * @param ownDataCentre the data centre of this router
   * @param locations the known locations of cached prompt parts
   * @param peers the requests placed by other routers
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random breaks ties and spreads retry delays
   */
  public ServiceDispatcher(
      DispatchOptions options,
      String ownDataCentre,
      PromptCacheLocations locations,
      PeerRequestCounts peers,
      LongSupplier nanoTime,
      UniformRandomProvider random) {
    this.options = options;
    this.peers = peers;
    this.nanoTime = nanoTime;
    this.random = random;
    this.locations = locations;
    this.promptChoice = new PrefixAffinityStrategy(options, locations, peers, nanoTime);
    this.leastLoadChoice = new LeastLoadedStrategy(options, ownDataCentre, peers, nanoTime, random);
  }

  /** Adds a replica or updates its record; returns whether it was not in use before. */
  public boolean addReplica(Replica replica) {
    ReplicaState known = replicas.get(replica.id());
    if (known != null && known.replica().sameIncarnation(replica)) {
      known.update(replica, nanoTime.getAsLong());
      return false;
    }
    replicas.put(
        replica.id(), new ReplicaState(replica, new ReplicaHealth(nanoTime), nanoTime.getAsLong()));
    placeWaiting();
    return true;
  }

  /** Stops placing requests at a replica; returns whether it was in use. */
  public boolean removeReplica(Replica replica) {
    ReplicaState known = replicas.get(replica.id());
    if (known == null || !known.replica().sameIncarnation(replica)) {
      return false;
    }
    replicas.remove(replica.id());
    departed.put(known.cacheHash(), new Departed(replica.address(), nanoTime.getAsLong()));
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
  public void submit(DispatchRequest work) {
    Placement chosen = choose(work);
    if (chosen != null) {
      place(work, chosen);
    } else if (excludesAll(work) || earliestPlacementNanos() >= waitEndNanos(work)) {
      work.onRefused(refusal(work));
    } else {
      enqueue(work);
    }
  }

  /** Removes a request from the queue without calling its callbacks. */
  public void cancel(DispatchRequest work) {
    waiting.remove(work);
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
  public Duration pause(ReplicaState replica, Duration wanted) {
    return replica.health().pause(wanted);
  }

  /** Records a pause that a replica has requested from another router. */
  public void onPeerPause(long nameHash, Duration left) {
    replicas.values().stream()
        .filter(replica -> replica.nameHash() == nameHash)
        .forEach(replica -> replica.health().onPeerPause(left));
  }

  /**
   * Returns the remaining pauses that replicas have requested from this router or a peer, by name
   * hash.
   */
  public Map<Long, Duration> pauses() {
    Map<Long, Duration> pauses = new HashMap<>();
    for (ReplicaState replica : replicas.values()) {
      Duration own = replica.health().pauseRemaining();
      Duration elsewhere = replica.health().peerPauseRemaining();
      Duration longer = own.compareTo(elsewhere) > 0 ? own : elsewhere;
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
    if (waiting.isEmpty()) {
      return;
    }
    long earliestPlacementNanos = earliestPlacementNanos();
    // Availability is evaluated again only after a placement, not for each queued request.
    boolean availableForPrompts = anyAvailable(PrefixAffinityStrategy.LOAD_PER_SLOT_MAX);
    boolean availableForOthers = anyAvailable(LeastLoadedStrategy.LOAD_PER_SLOT_MAX);
    for (DispatchRequest work : new ArrayList<>(waiting)) {
      boolean open =
          work.description().prompt().isEmpty() ? availableForOthers : availableForPrompts;
      Placement chosen = open ? choose(work) : null;
      if (chosen != null && waiting.remove(work)) {
        place(work, chosen);
        availableForPrompts = anyAvailable(PrefixAffinityStrategy.LOAD_PER_SLOT_MAX);
        availableForOthers = anyAvailable(LeastLoadedStrategy.LOAD_PER_SLOT_MAX);
      } else if (chosen == null
          && earliestPlacementNanos >= waitEndNanos(work)
          && waiting.remove(work)) {
        work.onRefused(refusal(work));
      }
    }
  }

  /** Returns whether any replica is available and below a load per slot. */
  private boolean anyAvailable(double loadPerSlotMax) {
    long now = nanoTime.getAsLong();
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    for (ReplicaState replica : replicas.values()) {
      double load = replica.load(peers.inFlightAt(replica.nameHash()), now, reportAgeMaxNanos);
      if (load < loadPerSlotMax * Math.max(1, replica.replica().slots()) && replica.available()) {
        return true;
      }
    }
    return false;
  }

  private void enqueue(DispatchRequest work) {
    int position = waiting.size();
    while (position > 0 && QUEUE_ORDER.compare(work, waiting.get(position - 1)) < 0) {
      position--;
    }
    waiting.add(position, work);
    if (waiting.size() > WAITING_MAX) {
      DispatchRequest last = waiting.remove(waiting.size() - 1);
      last.onRefused(refusal(last));
    }
    if (position < WAITING_MAX) {
      work.onQueued(position, waiting.size());
    }
  }

  private void place(DispatchRequest work, Placement chosen) {
    ReplicaState replica = chosen.replica();
    replica.onRequestPlaced(work, nanoTime.getAsLong());
    Placement placement = chosen;
    if (!work.description().prompt().isEmpty()) {
      placement = chosen.withCached(cachedPrefix(work, replica));
      work.sharedPrefixes().forEach(part -> locations.recordPlacement(part.hash(), replica));
    }
    work.onPlaced(placement);
  }

  /** Returns the prefix that the chosen replica holds, and a replica to fetch a longer one from. */
  private CachedPrefix cachedPrefix(DispatchRequest work, ReplicaState chosen) {
    DispatchRequest.SharedPrefix all = work.sharedPrefixes().get(0);
    Optional<HostPort> source = Optional.empty();
    int fetchTokens = 0;
    int heldTokens = 0;
    for (DispatchRequest.SharedPrefix part : work.sharedPrefixes()) {
      Set<Long> holders = locations.holders(part.hash());
      if (holders.contains(chosen.cacheHash())) {
        heldTokens = part.tokens();
        break;
      }
      if (source.isEmpty() && part.tokens() >= options.fetchTokensMin()) {
        source = fetchSource(holders);
        fetchTokens = source.isPresent() ? part.tokens() : 0;
      }
    }
    int holders = holdersInUse(all.hash());
    return new CachedPrefix(all.tokens(), heldTokens, fetchTokens, source, holders);
  }

  private int holdersInUse(long part) {
    Set<Long> holders = locations.holders(part);
    return (int)
        replicas.values().stream().filter(state -> holders.contains(state.cacheHash())).count();
  }

  private Optional<HostPort> fetchSource(Set<Long> holders) {
    long oldest = nanoTime.getAsLong() - DEPARTED_FETCH_MAX.toNanos();
    departed.values().removeIf(gone -> gone.atNanos() - oldest < 0);
    return Stream.concat(
            replicas.values().stream()
                .filter(state -> holders.contains(state.cacheHash()))
                .filter(state -> !state.health().suspended())
                .map(state -> state.replica().address()),
            departed.entrySet().stream()
                .filter(gone -> holders.contains(gone.getKey()))
                .map(gone -> gone.getValue().address()))
        .findFirst();
  }

  private @Nullable Placement choose(DispatchRequest work) {
    if (work.description().prompt().isEmpty()) {
      return leastLoadChoice.select(work, replicas.values());
    }
    return awaitsDiscovery(work) ? null : promptChoice.select(work, replicas.values());
  }

  /** Returns whether a prompt that is costly to prefill waits for cache discovery to end. */
  private boolean awaitsDiscovery(DispatchRequest work) {
    return !locations.complete()
        && work.description().sharedTokens() >= options.costlyPrefixTokens()
        && nanoTime.getAsLong() < waitEndNanos(work);
  }

  private long waitEndNanos(DispatchRequest work) {
    long waitMaxNanos = (long) (work.latencyGoalNanos() * options.queueTimeRatio());
    return Math.min(work.deadlineNanos(), work.arrivedNanos() + waitMaxNanos);
  }

  /** Returns the earliest time at which a replica accepts requests: now, unless all are paused. */
  private long earliestPlacementNanos() {
    return nanoTime.getAsLong() + pauseLeft().toNanos();
  }

  /** Returns the time until the first pause ends if all replicas are paused, otherwise zero. */
  private Duration pauseLeft() {
    Duration soonest = replicas.isEmpty() ? Duration.ZERO : ReplicaHealth.PAUSE_MAX;
    for (ReplicaState replica : replicas.values()) {
      Duration left = replica.health().pauseRemaining();
      soonest = left.compareTo(soonest) < 0 ? left : soonest;
    }
    return soonest;
  }

  private boolean excludesAll(DispatchRequest work) {
    return !replicas.isEmpty() && replicas.values().stream().allMatch(work::excludes);
  }

  private Refusal refusal(DispatchRequest work) {
    Refusal.Reason reason = Refusal.Reason.NO_CAPACITY;
    if (replicas.isEmpty()) {
      reason = Refusal.Reason.NO_REPLICA;
    } else if (!pauseLeft().isZero()) {
      reason = Refusal.Reason.REPLICAS_PAUSED;
    } else if (excludesAll(work)) {
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

  /** A replica that has departed and may still serve fetches from its cache. */
  private record Departed(HostPort address, long atNanos) {}
}
