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
 * The requests of one service: which replica each goes to, and in which order they wait while none
 * takes them. Confined to one thread.
 */
public final class ServiceDispatcher {

  /** The waiting requests that a router holds at most; beyond it the least urgent is refused. */
  private static final int WAITING_MAX = 512;

  /** The time in which completions are counted, to tell when a place can be expected. */
  private static final Duration RATE_WINDOW = Duration.ofSeconds(2);

  /** How long after its departure a replica still gives its cache to others. */
  private static final Duration DEPARTED_SERVES = Duration.ofSeconds(2);

  private static final Comparator<DispatchRequest> ORDER =
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
   * @param options the limits
   * @param ownDataCentre the data centre of this router
   * @param locations where parts of prompts are cached
   * @param peers what the other routers have placed
   * @param nanoTime the monotonic clock in nanoseconds
   * @param random breaks ties and spreads returning callers
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

  /** Takes a replica into use, or its latest record; returns whether it was not in use before. */
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

  /** Gives a replica no new work any more; returns whether it was in use. */
  public boolean removeReplica(Replica replica) {
    ReplicaState known = replicas.get(replica.id());
    if (known == null || !known.replica().sameIncarnation(replica)) {
      return false;
    }
    replicas.remove(replica.id());
    departed.put(known.cacheHash(), new Departed(replica.address(), nanoTime.getAsLong()));
    return true;
  }

  /** Returns whether a replica still gets new work. */
  public boolean uses(ReplicaState state) {
    return replicas.get(state.replica().id()) == state;
  }

  /** Returns the replicas in use. */
  public List<ReplicaState> replicas() {
    return List.copyOf(replicas.values());
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waiting.size();
  }

  /** Places a request, or lets it wait. */
  public void submit(DispatchRequest work) {
    Placement chosen = choose(work);
    if (chosen != null) {
      place(work, chosen);
    } else if (triedAll(work) || opensNanos() >= waitEndNanos(work)) {
      work.onRefused(refusal(work));
    } else {
      enqueue(work);
    }
  }

  /** Forgets a request that waits; its callbacks are not called any more. */
  public void cancel(DispatchRequest work) {
    waiting.remove(work);
  }

  /** Takes note that a replica no longer works on a request. */
  public void release(ReplicaState replica) {
    replica.onRequestEnded();
    completions.add(nanoTime.getAsLong());
    placeWaiting();
  }

  /**
   * Takes note that a replica wants no further requests of this router for a while.
   *
   * @return how long it gets none
   */
  public Duration pause(ReplicaState replica, Duration wanted) {
    return replica.health().pause(wanted);
  }

  /** Takes another router's word of a pause that a replica has asked for. */
  public void onPeerPause(long nameHash, Duration left) {
    replicas.values().stream()
        .filter(replica -> replica.nameHash() == nameHash)
        .forEach(replica -> replica.health().onPeerPause(left));
  }

  /** Returns the pauses that replicas have asked this router or another one for, by name hash. */
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

  /** Takes a replica's own count of its requests. */
  public void onLoadReport(ReplicaState replica, LoadReport report) {
    replica.onLoadReport(report, nanoTime.getAsLong());
  }

  /** Places waiting requests where possible and turns those away that have waited too long. */
  public void placeWaiting() {
    if (waiting.isEmpty()) {
      return;
    }
    long opensNanos = opensNanos();
    // Replicas are looked at again only after one has taken a request, not for each that waits.
    boolean openForPrompts = anyOpen(PrefixAffinityStrategy.LOAD_A_SLOT_MAX);
    boolean openForOthers = anyOpen(LeastLoadedStrategy.LOAD_A_SLOT_MAX);
    for (DispatchRequest work : new ArrayList<>(waiting)) {
      boolean open = work.description().prompt().isEmpty() ? openForOthers : openForPrompts;
      Placement chosen = open ? choose(work) : null;
      if (chosen != null && waiting.remove(work)) {
        place(work, chosen);
        openForPrompts = anyOpen(PrefixAffinityStrategy.LOAD_A_SLOT_MAX);
        openForOthers = anyOpen(LeastLoadedStrategy.LOAD_A_SLOT_MAX);
      } else if (chosen == null && opensNanos >= waitEndNanos(work) && waiting.remove(work)) {
        work.onRefused(refusal(work));
      }
    }
  }

  /** Returns whether any replica has less than a load for each of its slots. */
  private boolean anyOpen(double loadASlotMax) {
    long now = nanoTime.getAsLong();
    long reportAgeMaxNanos = options.reportAgeMax().toNanos();
    for (ReplicaState replica : replicas.values()) {
      double load = replica.load(peers.inFlightAt(replica.nameHash()), now, reportAgeMaxNanos);
      if (load < loadASlotMax * Math.max(1, replica.replica().slots()) && replica.available()) {
        return true;
      }
    }
    return false;
  }

  private void enqueue(DispatchRequest work) {
    int position = waiting.size();
    while (position > 0 && ORDER.compare(work, waiting.get(position - 1)) < 0) {
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
      placement = chosen.withCached(cachedBeginning(work, replica));
      work.sharedPrefixes().forEach(part -> locations.recordPlacement(part.hash(), replica));
    }
    work.onPlaced(placement);
  }

  /** Finds what the chosen replica holds, and one that holds more of the prompt's beginning. */
  private CachedPrefix cachedBeginning(DispatchRequest work, ReplicaState chosen) {
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
        source = reachable(holders);
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

  private Optional<HostPort> reachable(Set<Long> holders) {
    long oldest = nanoTime.getAsLong() - DEPARTED_SERVES.toNanos();
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
    return awaitsLocations(work) ? null : promptChoice.select(work, replicas.values());
  }

  /** Holds a prompt that is dear to read while this router is still learning who holds it. */
  private boolean awaitsLocations(DispatchRequest work) {
    return !locations.complete()
        && work.description().sharedTokens() >= options.costlyPrefixTokens()
        && nanoTime.getAsLong() < waitEndNanos(work);
  }

  private long waitEndNanos(DispatchRequest work) {
    long waitMaxNanos = (long) (work.latencyGoalNanos() * options.queueTimeRatio());
    return Math.min(work.deadlineNanos(), work.arrivedNanos() + waitMaxNanos);
  }

  /** Returns when a replica may take requests at the earliest: now, unless all want a pause. */
  private long opensNanos() {
    return nanoTime.getAsLong() + pauseLeft().toNanos();
  }

  /** Returns the time until the first replica takes requests again, if all want a pause. */
  private Duration pauseLeft() {
    Duration soonest = replicas.isEmpty() ? Duration.ZERO : ReplicaHealth.PAUSE_MAX;
    for (ReplicaState replica : replicas.values()) {
      Duration left = replica.health().pauseRemaining();
      soonest = left.compareTo(soonest) < 0 ? left : soonest;
    }
    return soonest;
  }

  private boolean triedAll(DispatchRequest work) {
    return !replicas.isEmpty() && replicas.values().stream().allMatch(work::excludes);
  }

  private Refusal refusal(DispatchRequest work) {
    Refusal.Reason reason = Refusal.Reason.NO_CAPACITY;
    if (replicas.isEmpty()) {
      reason = Refusal.Reason.NO_REPLICA;
    } else if (!pauseLeft().isZero()) {
      reason = Refusal.Reason.REPLICAS_PAUSED;
    } else if (triedAll(work)) {
      reason = Refusal.Reason.REJECTED;
    }
    return new Refusal(reason, retryDelay());
  }

  /** Returns a time after which a caller that was refused may find a place. */
  public Duration retryDelay() {
    long completed = completions.sum(nanoTime.getAsLong());
    return pauseLeft()
        .plus(RetryDelay.compute(waiting.size(), completed, RATE_WINDOW, random.nextDouble()));
  }

  /** A replica that gets no new work any more. */
  private record Departed(HostPort address, long atNanos) {}
}
