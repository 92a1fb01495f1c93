package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.CacheDiscovery;
import org.coltsfootvale.core.dispatch.ColdAdmission;
import org.coltsfootvale.core.dispatch.DispatchOptions;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.overload.CallerMemoryBudget;
import org.coltsfootvale.core.registry.LeasedKeyRenewer;
import org.coltsfootvale.core.registry.LoopLagDetector;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.registry.UpdateTimings;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.store.HedgedReadStore;
import org.coltsfootvale.core.store.RevisionedStore;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.router.http.ReplicaConnectionPool;
import org.coltsfootvale.router.http.ServingLoop;
import org.coltsfootvale.router.metrics.DecisionMetrics;
import org.coltsfootvale.router.metrics.MeteredStore;
import org.coltsfootvale.router.metrics.MetricsPage;

/**
 * A router at the entry of a deployment whose desired state, replicas and fleet are kept in a
 * store. All its components are confined to the serving loop.
 */
public final class EntryRouter implements Service {

  /**
   * Entries that expired during an outage of the store are back within about 2 s; the grace period
   * stays below the 2 s within which a departure has to take effect.
   */
  private static final Duration EXPIRY_GRACE = Duration.ofMillis(1_800);

  /**
   * How long an advertisement outlives its router. Its renewals are billed calls, and the absence
   * of updates shows much sooner that a router has died.
   */
  private static final Duration ADVERTISEMENT_LIFE = Duration.ofSeconds(20);

  /** How long after its last use a prompt part is assumed to be in a replica's cache. */
  private static final Duration CACHE_LIFE = Duration.ofSeconds(60);

  private static final Duration STATE_REQUEST_INTERVAL = Duration.ofMillis(250);

  /** Short relative to the latency goals of waiting requests; each run costs the host a wake-up. */
  private static final Duration TICK = Duration.ofMillis(50);

  private static final Duration SWEEP = Duration.ofMillis(250);

  private final EntrySettings settings;
  private final ServingLoop loop;
  private final LongSupplier nanoTime = System::nanoTime;
  private final ServingState state;
  private final PromptCacheLocations locations;
  private final CacheInspection caches;
  private final PeerRequestCounts peerRequestCounts;
  private final QuarantineControl quarantine;
  private final ReplicaTable replicas;
  private final RouterRegistry registry;
  private final ReplicaConnectionPool links;
  private final CallerListener callers;
  private final FollowedPrefixes followed;
  private final LeasedKeyRenewer advertisement;
  private final DepartureUpdates departures;
  private final FleetExchange fleetExchange;
  private final SuspensionDetector suspensionDetector;
  private final LoopLagDetector lagDetector;
  private final AuxiliaryListeners auxiliaryListeners;
  private final DecisionLog log;
  private final GracefulStop gracefulStop;
  private boolean advertised;

  /**
   * Creates a router.
   *
   * @param settings its addresses and limits
   * @param loop the thread that serves all its sockets
   * @param store the platform's store
   * @param protocol the headers of callers and replicas
   * @param formats the formats of the data in the store
   * @param inspector lists the cache contents of replicas
   * @param log records decisions and changes of the view
   */
  public EntryRouter(
      EntrySettings settings,
      ServingLoop loop,
      RevisionedStore store,
      CallerProtocol protocol,
      EntryFormats formats,
      CacheInspector inspector,
      DecisionLog log) {
    this.settings = settings;
    DecisionMetrics metrics = new DecisionMetrics();
    this.log = metrics.andThen(LogRateLimits.apply(log, nanoTime));
    MeteredStore meteredStore = new MeteredStore(store);
    this.loop = loop;
    // Constructed directly, as the factory of random sources takes a tenth of the start-up time.
    UniformRandomProvider random = new SplitMix64(System.nanoTime());
    registry = new RouterRegistry(settings.advertisement(), EXPIRY_GRACE, nanoTime);
    RelayTopology topology = new RelayTopology(registry, nanoTime);
    locations = new PromptCacheLocations(CACHE_LIFE, nanoTime);
    peerRequestCounts =
        new PeerRequestCounts(
            () -> UpdateTimings.timeToLive(topology.exchangeGroupSize()), nanoTime);
    lagDetector = new LoopLagDetector(TICK, nanoTime);
    RevisionedStore hedgedStore = new HedgedReadStore(meteredStore, loop);
    quarantine =
        new QuarantineControl(
            settings.id(),
            this::activePeerIds,
            hedgedStore,
            random::nextDouble,
            InstantSource.system(),
            nanoTime,
            this.log);
    state = servingState(random);
    store.era().logTo(this.log);
    replicas = new ReplicaTable(EXPIRY_GRACE, nanoTime, store.era()::latest, new ReplicaListener());
    departures = new DepartureUpdates(replicas, nanoTime);
    links = new ReplicaConnectionPool(loop, nanoTime);
    callers = callerListener(starter(protocol), random);
    gracefulStop = new GracefulStop(loop, state, callers, settings.stopTimeout(), nanoTime);
    PrefixFollowerFactory factory =
        new PrefixFollowerFactory(
            hedgedStore, loop, random::nextDouble, nanoTime, settings.id(), this.log);
    followed =
        factory.create(
            formats,
            settings.desiredStatePrefix(formats),
            new DesiredStateFeed(formats, state, this.log, this::onStoreRecovered),
            new ReplicaFeed(formats, replicas, this.log),
            registry);
    advertisement = advertisement(meteredStore, random);
    fleetExchange = fleetExchange(topology, random);
    caches = inspection(topology, inspector);
    suspensionDetector = new SuspensionDetector(nanoTime, System::currentTimeMillis);
    auxiliaryListeners =
        auxiliaryListeners(
            formats, new MetricsPage(metrics, meteredStore, fleetExchange.messageMetrics()));
  }

  private LeasedKeyRenewer advertisement(RevisionedStore store, UniformRandomProvider random) {
    return new LeasedKeyRenewer(
        store,
        RouterRegistry.PREFIX + settings.id(),
        settings.advertisement().encode(),
        ADVERTISEMENT_LIFE,
        loop,
        random::nextDouble);
  }

  private CallerListener callerListener(RequestStarter starter, UniformRandomProvider random) {
    CallerMemoryBudget budget =
        CallerMemoryBudget.create(
            Runtime.getRuntime().maxMemory(),
            settings.memoryBytes(),
            settings.callerMemoryBytes(),
            RequestStarter.INITIAL_BODY_BYTES_MAX,
            nanoTime);
    CallerMemory memory = new CallerMemory(budget, loop, random::nextDouble, log);
    return new CallerListener(
        loop,
        settings.callerAddress(),
        starter,
        state,
        memory,
        settings.descriptors(),
        nanoTime,
        log);
  }

  private RequestStarter starter(CallerProtocol protocol) {
    return new RequestStarter(
        state,
        protocol,
        RequestStarter.repeatBudget(settings, registry),
        links,
        loop,
        replicas,
        quarantine.unanswered(),
        nanoTime,
        log);
  }

  private FleetExchange fleetExchange(RelayTopology topology, UniformRandomProvider random) {
    return new FleetExchange(
        settings,
        loop,
        topology,
        new FleetUpdates(
            registry,
            topology,
            state,
            locations,
            peerRequestCounts,
            followed,
            quarantine.updates(),
            nanoTime),
        new KnownPeers(registry, settings.peerAddress(), settings.seeds(), random::nextDouble),
        locations,
        peerRequestCounts,
        departures,
        followed,
        InstantSource.system(),
        nanoTime,
        log);
  }

  private CacheInspection inspection(RelayTopology topology, CacheInspector inspector) {
    return new CacheInspection(
        settings.id(),
        new CacheDiscovery(settings.firstStart(), locations, nanoTime),
        registry,
        topology,
        fleetExchange::activePeerIds,
        state,
        locations,
        inspector,
        log);
  }

  private Set<String> activePeerIds() {
    return fleetExchange.activePeerIds();
  }

  private void onStoreRecovered() {
    followed.replicas().onStoreRecovered();
    followed.routers().onStoreRecovered();
  }

  private ServingState servingState(UniformRandomProvider random) {
    return new ServingState(
        DispatchOptions.defaults(),
        settings.dataCentre(),
        locations,
        peerRequestCounts,
        quarantine.quarantine(),
        nanoTime,
        random,
        log,
        lagDetector,
        service ->
            new ColdAdmission(
                settings.cold(), settings.id(), registry::advertisedIds, service, nanoTime, log));
  }

  private AuxiliaryListeners auxiliaryListeners(EntryFormats formats, MetricsPage page) {
    return new AuxiliaryListeners(
        settings,
        loop,
        formats,
        new EntryPoints(
            registry, fleetExchange::activePeerIds, fleetExchange::laggingIds, this::ready),
        page,
        new StateReport(
            state, registry, peerRequestCounts, followed.all(), callers, this::ready, nanoTime),
        quarantine.quarantine(),
        nanoTime,
        log);
  }

  @Override
  public void start() {
    loop.start();
    auxiliaryListeners.start();
    callers.start();
    fleetExchange.start();
    log.record(
        Decision.of(DecisionEvent.PROCESS_STARTED)
            .with("callers_at", settings.callerAddress().toString())
            .with("peers_at", settings.peerAddress().toString())
            .with("first_start", settings.firstStart()));
    loop.execute(
        () -> {
          followed.start();
          sendUpdates();
        });
    loop.every(STATE_REQUEST_INTERVAL, fleetExchange::requestMissingState);
    loop.every(TICK, this::tick);
    loop.every(SWEEP, this::sweep);
  }

  /**
   * Reports settings that were read again. The addresses and limits of a running process are fixed,
   * so that changes take effect at the next start only.
   */
  public void reload(EntrySettings latest) {
    log.record(SettingsChange.report(latest, settings));
  }

  private void sendUpdates() {
    loop.schedule(fleetExchange.sendUpdates(), this::sendUpdates);
  }

  private void tick() {
    lagDetector.onTick();
    fleetExchange.setLagging(lagDetector.lagging(), state.active());
    if (suspensionDetector.pausedSinceLastCall()) {
      log.record(
          Decision.of(DecisionEvent.PROCESS_PAUSED).with("next", "all prefixes are read again"));
      followed.rereadAll();
    }
    if (stateLoaded()) {
      fleetExchange.requestPlacements();
      caches.inspect();
    }
    if (ready() && !advertised) {
      advertised = true;
      log.record(Decision.of(DecisionEvent.READINESS_CHANGED).with("ready", true));
      advertisement.start();
    }
    replicas.expire();
    registry.expire();
    quarantine.tick();
    state.tick();
  }

  private void sweep() {
    callers.sweep();
    auxiliaryListeners.sweep();
    links.evictIdle(state::uses);
  }

  /** Returns whether this router accepts new callers. */
  private boolean ready() {
    return !state.draining() && stateLoaded() && caches.finished() && quarantine.loaded();
  }

  private boolean stateLoaded() {
    return state.routing().isPresent() && followed.replicas().initialised();
  }

  /**
   * Stops gracefully: callers are directed to other routers at once, those that hold an old answer
   * are served until it has expired, and requests in progress are completed.
   */
  @Override
  public void stop() {
    long requestedNanos = nanoTime.getAsLong();
    loop.execute(
        () -> {
          log.record(
              Decision.of(DecisionEvent.PROCESS_STOPPING).with("in_progress", state.active()));
          advertisement.stop();
          gracefulStop.begin(requestedNanos);
        });
    boolean inTime = gracefulStop.await(requestedNanos);
    log.record(Decision.of(DecisionEvent.PROCESS_STOPPED).with("in_time", inTime));
    loop.stop();
  }

  /** Stops at once and aborts the requests in progress. */
  public void abort() {
    loop.stop();
  }

  /** Updates the serving state, and informs the other routers of announced departures. */
  private final class ReplicaListener implements ReplicaTable.Listener {

    @Override
    public void onReplica(Replica replica) {
      state.onReplica(replica);
    }

    @Override
    public void onDeparture(Replica replica) {
      state.onDeparture(replica);
      if (replica.leaving()) {
        departures.recordAnnounced(replica);
      }
    }
  }
}
