package org.coltsfootvale.verify.slopes;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.gossip.GossipCounters;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;

/** Measures the gossip costs of one fleet in virtual time. */
final class SlopeMeasurement {

  private static final Duration MEASUREMENT_WINDOW = Duration.ofSeconds(60);
  private static final Duration SPREAD_MAX = Duration.ofSeconds(30);
  private static final Duration STEP = Duration.ofMillis(20);
  private static final int ROUTERS_SAMPLED = 20;
  private static final int SPREAD_RUNS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final String name;
  private final FleetShape shape;
  private final long seed;
  private final Duration warmUp;
  private final VirtualFleet fleet;
  private final UniformRandomProvider random;
  private final Map<RouterId, GossipCounters> countersAtStart = new HashMap<>();

  SlopeMeasurement(
      String name, FleetShape shape, GossipFactory factory, long seed, Duration warmUp) {
    this.name = name;
    this.shape = shape;
    this.seed = seed;
    this.warmUp = warmUp;
    this.fleet = new VirtualFleet(shape, factory, seed);
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
  }

  /** Runs the measurement and returns its results. */
  SlopeRow run() {
    long heapBefore = usedHeapBytes();
    fleet.time().advance(warmUp);
    long heapAfter = usedHeapBytes();
    resetCounters();
    long betweenDataCentres = fleet.bytesBetweenDataCentres();
    long betweenRegions = fleet.bytesBetweenRegions();
    fleet.time().advance(MEASUREMENT_WINDOW);
    double seconds = MEASUREMENT_WINDOW.toSeconds();
    Traffic traffic = traffic();
    long cpuNanos = fleet.routers().stream().mapToLong(router -> router.cpuNanos).sum();
    betweenDataCentres = fleet.bytesBetweenDataCentres() - betweenDataCentres;
    betweenRegions = fleet.bytesBetweenRegions() - betweenRegions;
    Histogram loadAge = loadAge();
    Histogram revision = new Histogram(3);
    int hops = measureRevisionSpread(revision);
    Histogram leaving = measureLeavingSpread();
    return new SlopeRow(
        name,
        shape,
        seed,
        (double) traffic.bytes / shape.routers() / seconds,
        traffic.maxBytes / seconds,
        2.0 * betweenDataCentres / traffic.bytes,
        2.0 * betweenRegions / traffic.bytes,
        cpuNanos / NANOS_PER_SECOND / seconds / shape.routers() * 100,
        cpuNanos / 1000.0 / traffic.messages,
        (heapAfter - heapBefore) / 1024.0 / shape.routers(),
        revision,
        hops,
        leaving,
        loadAge,
        (double) traffic.heldBack / shape.routers() / seconds);
  }

  private void resetCounters() {
    for (VirtualRouter router : fleet.routers()) {
      countersAtStart.put(router.id(), router.gossip.counters());
      router.cpuNanos = 0;
    }
  }

  private Traffic traffic() {
    Traffic traffic = new Traffic();
    for (VirtualRouter router : fleet.routers()) {
      GossipCounters start = countersAtStart.getOrDefault(router.id(), router.gossip.counters());
      traffic.add(start, router.gossip.counters());
    }
    return traffic;
  }

  private Histogram loadAge() {
    Histogram ages = new Histogram(3);
    Instant now = fleet.time().instant();
    List<VirtualRouter> sample = fleet.routers();
    for (VirtualRouter router : sample.subList(0, Math.min(ROUTERS_SAMPLED, sample.size()))) {
      for (EngineView engine : router.membership.view().engines().values()) {
        if (engine.load() != null) {
          ages.recordValue(Duration.between(engine.load().reportedAt(), now).toMillis());
        }
      }
    }
    return ages;
  }

  private int measureRevisionSpread(Histogram spread) {
    int hops = 0;
    for (int run = 0; run < SPREAD_RUNS; run++) {
      List<VirtualRouter> routers = fleet.routers();
      Instant start = fleet.time().instant();
      fleet.publishRevision(routers.get(random.nextInt(routers.size())));
      fleet.time().advance(SPREAD_MAX);
      for (VirtualRouter router : routers) {
        Instant at = router.revisionAppliedAt;
        spread.recordValue(
            at == null ? SPREAD_MAX.toMillis() : Duration.between(start, at).toMillis());
        hops = Math.max(hops, router.revisionHops);
      }
    }
    return hops;
  }

  private Histogram measureLeavingSpread() {
    Histogram spread = new Histogram(3);
    List<EngineId> engines = fleet.engineIds();
    for (int run = 0; run < Math.min(SPREAD_RUNS, engines.size()); run++) {
      EngineId engine = engines.get(run);
      fleet.startLeaving(engine);
      Instant start = fleet.time().instant();
      Map<RouterId, Instant> observedAt = new HashMap<>();
      while (observedAt.size() < shape.routers()
          && fleet.time().instant().isBefore(start.plus(SPREAD_MAX))) {
        fleet.time().advance(STEP);
        recordObservers(engine, observedAt);
      }
      for (VirtualRouter router : fleet.routers()) {
        Instant at = observedAt.getOrDefault(router.id(), start.plus(SPREAD_MAX));
        spread.recordValue(Duration.between(start, at).toMillis());
      }
    }
    return spread;
  }

  private void recordObservers(EngineId engine, Map<RouterId, Instant> observedAt) {
    for (VirtualRouter router : fleet.routers()) {
      if (observedAt.containsKey(router.id())) {
        continue;
      }
      EngineView view = router.membership.view().engines().get(engine);
      if (view != null && view.liveness() == Liveness.LEAVING) {
        observedAt.put(router.id(), fleet.time().instant());
      }
    }
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static final class Traffic {

    private long bytes;
    private long maxBytes;
    private long messages;
    private long heldBack;

    private void add(GossipCounters start, GossipCounters end) {
      long routerBytes =
          end.bytesSent() + end.bytesReceived() - start.bytesSent() - start.bytesReceived();
      bytes += routerBytes;
      maxBytes = Math.max(maxBytes, routerBytes);
      messages += end.messagesReceived() - start.messagesReceived();
      heldBack += end.entriesHeldBack() - start.entriesHeldBack();
    }
  }
}
