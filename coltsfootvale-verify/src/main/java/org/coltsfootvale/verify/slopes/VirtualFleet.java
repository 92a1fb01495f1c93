package org.coltsfootvale.verify.slopes;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;

/**
 * Simulated fleet of routers and engines in virtual time; its network has delays and partitions.
 */
public final class VirtualFleet {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DELAY_LOCAL = Duration.ofNanos(250_000);
  private static final Duration DELAY_IN_REGION = Duration.ofNanos(1_500_000);
  private static final Duration DELAY_BETWEEN_REGIONS = Duration.ofMillis(15);
  private static final int NOTE_BYTES = 700;
  private static final int PEER_PORT = 7400;
  private static final int CALLER_PORT = 7401;
  private static final int SEEDS_PER_DATA_CENTRE = 2;
  private static final int ADDRESSES_PER_NET = 250;

  private final VirtualTime time = new VirtualTime();
  private final FleetShape shape;
  private final GossipFactory factory;
  private final UniformRandomProvider random;
  private final Map<RouterId, VirtualRouter> routers = new LinkedHashMap<>();
  private final Map<HostPort, VirtualRouter> byAddress = new HashMap<>();
  private final Map<EngineId, VirtualEngine> engines = new LinkedHashMap<>();
  private final Set<RouterId> fetchingRouters = new HashSet<>();
  private final List<HostPort> seeds = new ArrayList<>();
  private FleetState state = FleetState.empty();
  private BiPredicate<DataCentreId, DataCentreId> partition = (from, to) -> false;
  private long bytesBetweenDataCentres;
  private long bytesBetweenRegions;

  /** Creates a fleet of newly started routers that have applied the release state. */
  public VirtualFleet(FleetShape shape, GossipFactory factory, long seed) {
    this.shape = shape;
    this.factory = factory;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int index = 0; index < shape.engines(); index++) {
      DataCentreId dataCentre = shape.dataCentre(index);
      EngineId id = new EngineId("engine-" + dataCentre + "-" + index);
      engines.put(id, new VirtualEngine(id, dataCentre));
    }
    state = state(1);
    for (int index = 0; index < shape.routers(); index++) {
      if (index < SEEDS_PER_DATA_CENTRE * shape.dataCentres()) {
        seeds.add(peerAddress(index));
      }
    }
    for (int index = 0; index < shape.routers(); index++) {
      startRouter(index);
    }
    mergeAllEntries();
    time.repeat(
        Duration.ZERO,
        PROBE_INTERVAL,
        () -> engines.values().forEach(e -> e.advanceSecond(random)));
  }

  /** Returns the virtual clock. */
  public VirtualTime time() {
    return time;
  }

  /** Returns all routers, including stopped ones that were not replaced. */
  public List<VirtualRouter> routers() {
    return List.copyOf(routers.values());
  }

  /** Returns the ids of all engines. */
  public List<EngineId> engineIds() {
    return List.copyOf(engines.keySet());
  }

  /** Starts a new incarnation of the router at an index, stopping the previous one. */
  public VirtualRouter startRouter(int index) {
    DataCentreId dataCentre = shape.dataCentre(index);
    RouterId id = new RouterId("router-" + dataCentre + "-" + index);
    VirtualRouter router =
        new VirtualRouter(
            this,
            new RouterIncarnation(id, time.instant().toEpochMilli()),
            dataCentre,
            new HostPort(host(index), CALLER_PORT),
            peerAddress(index),
            factory,
            () -> seeds,
            RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()));
    router.membership.onFleetState(state);
    router.membership.onAppliedRevision(state.revision());
    VirtualRouter previous = routers.put(id, router);
    if (previous != null) {
      previous.kill();
    }
    byAddress.put(router.peerAddress, router);
    time.repeat(
        Duration.ofMillis(random.nextInt((int) TICK_INTERVAL.toMillis())),
        TICK_INTERVAL,
        router::tick);
    time.repeat(
        Duration.ofMillis(random.nextInt((int) PROBE_INTERVAL.toMillis())),
        PROBE_INTERVAL,
        router::probe);
    return router;
  }

  /** Drops all traffic for which the predicate of the sending and receiving data centre holds. */
  public void partition(BiPredicate<DataCentreId, DataCentreId> newPartition) {
    partition = newPartition;
  }

  /** Returns whether traffic from one data centre to another is dropped. */
  boolean isPartitioned(DataCentreId from, DataCentreId to) {
    return partition.test(from, to);
  }

  /** Makes an engine report that it is leaving from the next probe on. */
  public void startLeaving(EngineId id) {
    engine(id).leaving = true;
  }

  /** Sets whether an engine leaves probes unanswered. */
  public void setSilent(EngineId id, boolean silent) {
    engine(id).silent = silent;
  }

  /** Publishes a new release revision, which the given router applies first. */
  public void publishRevision(VirtualRouter first) {
    state = state(state.revision() + 1);
    for (VirtualRouter router : routers.values()) {
      router.revisionAppliedAt = null;
      router.revisionHops = 0;
    }
    applyRevision(first, 0);
  }

  /** Returns the newest release state. */
  FleetState state() {
    return state;
  }

  /**
   * Returns the engine with an id.
   *
   * @throws IllegalArgumentException if there is none
   */
  VirtualEngine engine(EngineId id) {
    VirtualEngine engine = engines.get(id);
    if (engine == null) {
      throw new IllegalArgumentException("unknown engine: " + id);
    }
    return engine;
  }

  /** Delivers a frame to the current router at an address, unless a partition drops it. */
  void deliver(VirtualRouter from, HostPort to, byte[] frame) {
    VirtualRouter receiver = byAddress.get(to);
    if (receiver == null || isPartitioned(from.dataCentre, receiver.dataCentre)) {
      return;
    }
    if (!from.dataCentre.equals(receiver.dataCentre)) {
      bytesBetweenDataCentres += frame.length;
      if (!region(from).equals(region(receiver))) {
        bytesBetweenRegions += frame.length;
      }
    }
    time.schedule(delay(from, receiver), () -> receiver.receive(from.router, frame));
  }

  /** Fetches release notes from a peer, unless the router is already fetching. */
  void fetchNotes(VirtualRouter reader, RouterId from, long revision) {
    VirtualRouter source = routers.get(from);
    if (source == null || !fetchingRouters.add(reader.id())) {
      return;
    }
    Duration roundTrip = delay(reader, source).multipliedBy(2);
    time.schedule(
        roundTrip,
        () -> {
          fetchingRouters.remove(reader.id());
          if (revision > reader.membership.appliedRevision()) {
            reader.notesBytes += NOTE_BYTES;
            source.notesBytes += NOTE_BYTES;
            applyRevision(reader, source.revisionHops + 1);
          }
        });
  }

  /** Returns the bytes sent between data centres. */
  long bytesBetweenDataCentres() {
    return bytesBetweenDataCentres;
  }

  /** Returns the bytes sent between regions. */
  long bytesBetweenRegions() {
    return bytesBetweenRegions;
  }

  /** Merges the entries of all routers into each; only the uniform baseline has no discovery. */
  private void mergeAllEntries() {
    for (VirtualRouter one : routers.values()) {
      if (one.gossip instanceof UniformGossip) {
        routers.values().forEach(o -> one.membership.merge(o.id(), o.membership.ownEntry()));
      }
    }
  }

  private void applyRevision(VirtualRouter router, int hops) {
    router.revisionAppliedAt = time.instant();
    router.revisionHops = hops;
    router.membership.onFleetState(state);
    router.membership.onAppliedRevision(state.revision());
  }

  private FleetState state(long revision) {
    Map<EngineId, EngineSpec> specs = new HashMap<>();
    for (VirtualEngine engine : engines.values()) {
      specs.put(
          engine.id,
          new EngineSpec(
              engine.id,
              new PoolId("pool"),
              URI.create("http://10.0.0.1:8000"),
              engine.dataCentre,
              List.of(new ModelId("model")),
              8000,
              true));
    }
    return new FleetState(
        revision, Map.of(), Map.of(), Map.of(), specs, Map.of(), Map.of(), PolicySpec.DEFAULT);
  }

  private static Duration delay(VirtualRouter from, VirtualRouter to) {
    if (from.dataCentre.equals(to.dataCentre)) {
      return DELAY_LOCAL;
    }
    return region(from).equals(region(to)) ? DELAY_IN_REGION : DELAY_BETWEEN_REGIONS;
  }

  private static String region(VirtualRouter router) {
    return FleetShape.region(router.dataCentre);
  }

  private static HostPort peerAddress(int index) {
    return new HostPort(host(index), PEER_PORT);
  }

  private static String host(int index) {
    return "10.1." + index / ADDRESSES_PER_NET + "." + (index % ADDRESSES_PER_NET + 1);
  }
}
