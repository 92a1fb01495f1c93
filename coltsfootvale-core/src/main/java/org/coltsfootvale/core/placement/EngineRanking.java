package org.coltsfootvale.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.support.RendezvousHashing;

/** Ranks the live engines of a model for a chat by weighted rendezvous hashing. Thread-safe. */
final class EngineRanking {

  private static final double JOIN_WEIGHT_MIN = 0.1;

  private final Supplier<FleetState> state;
  private final Supplier<FleetView> view;
  private final PeerLoads peers;
  private final InstantSource clock;
  private final PlacementOptions options;
  private final FlapDetector flaps;
  private final Map<EngineId, EngineLoadTracker> trackers = new ConcurrentHashMap<>();
  private volatile ModelIndex index = new ModelIndex(FleetState.empty());

  EngineRanking(
      Supplier<FleetState> state,
      Supplier<FleetView> view,
      PeerLoads peers,
      InstantSource clock,
      PlacementOptions options) {
    this.state = state;
    this.view = view;
    this.peers = peers;
    this.clock = clock;
    this.options = options;
    this.flaps = new FlapDetector(options.stableAfter());
  }

  /**
   * Returns the live engines of the model, best first; unstable ones only if they outnumber the
   * stable ones.
   */
  List<RankedEngine> rank(ModelId model, long chatHash) {
    FleetView current = view.get();
    Instant now = clock.instant();
    List<RankedEngine> stable = new ArrayList<>();
    List<RankedEngine> unstable = new ArrayList<>();
    for (ModelIndex.Entry entry : index().engines(model)) {
      EngineView engine = current.engines().get(entry.spec().id());
      if (engine == null || engine.liveness() != Liveness.LIVE) {
        continue;
      }
      boolean isStable = flaps.isStable(engine, now);
      (isStable ? stable : unstable).add(rankedEngine(entry, engine, chatHash, now));
    }
    if (stable.size() < unstable.size()) {
      stable.addAll(unstable);
    }
    stable.sort(Comparator.comparingDouble(RankedEngine::score).reversed());
    return stable;
  }

  /** Returns whether the engine incarnation of a hint is leaving but can still export its cache. */
  boolean isLeaving(CacheHint hint) {
    EngineView engine = view.get().engines().get(hint.engine());
    return engine != null
        && engine.liveness() == Liveness.LEAVING
        && engine.incarnation() == hint.engineIncarnation();
  }

  private RankedEngine rankedEngine(
      ModelIndex.Entry entry, EngineView engine, long chatHash, Instant now) {
    EngineSpec spec = entry.spec();
    EngineLoadTracker tracker = trackers.computeIfAbsent(spec.id(), id -> new EngineLoadTracker());
    double weight = engine.weight() * joinFactor(engine, now);
    return new RankedEngine(
        engine,
        RendezvousHashing.score(chatHash, entry.hash(), weight),
        spec.prefillTokensPerSecond(),
        tracker,
        estimate(engine, tracker));
  }

  private LoadEstimate estimate(EngineView engine, EngineLoadTracker tracker) {
    return peers
        .countAt(engine.id())
        .map(tracker::estimate)
        .orElseGet(() -> tracker.estimate(engine.load()));
  }

  /** Returns this router's own load on each engine that has any. */
  DispatchCounts ownCounts() {
    List<DispatchCounts.Count> counts = new ArrayList<>();
    trackers.forEach(
        (id, tracker) -> {
          LoadEstimate own = tracker.own();
          if (own.outstandingRequests() > 0) {
            counts.add(new DispatchCounts.Count(id, own.outstandingRequests(), own.queuedTokens()));
          }
        });
    counts.sort(Comparator.comparing(DispatchCounts.Count::engine));
    return new DispatchCounts(true, counts);
  }

  private double joinFactor(EngineView engine, Instant now) {
    Instant liveSince = engine.liveSince();
    if (liveSince == null || options.joinRamp().isZero()) {
      return 1;
    }
    long liveMillis = Duration.between(liveSince, now).toMillis();
    double fraction = (double) liveMillis / options.joinRamp().toMillis();
    return Math.min(1, Math.max(JOIN_WEIGHT_MIN, fraction));
  }

  private ModelIndex index() {
    FleetState current = state.get();
    ModelIndex cached = index;
    if (cached.state().equals(current)) {
      return cached;
    }
    ModelIndex rebuilt = new ModelIndex(current);
    trackers
        .entrySet()
        .removeIf(
            entry ->
                !current.engines().containsKey(entry.getKey())
                    && entry.getValue().own().outstandingRequests() == 0);
    flaps.retain(current.engines().keySet());
    index = rebuilt;
    return rebuilt;
  }
}
