package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.dispatch.PeerPlacements;
import org.coltsfootvale.core.dispatch.PromptLocations;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.registry.NewsPace;
import org.coltsfootvale.core.registry.ReaderRole;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.PrefixUpdate;
import org.coltsfootvale.core.store.RevisionLag;
import org.coltsfootvale.core.support.Service;
import org.coltsfootvale.protocol.ForwardResponder;
import org.coltsfootvale.protocol.NettyPeerTransport;
import org.coltsfootvale.protocol.PeerHandler;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.protocol.PeerTransportOptions;
import org.coltsfootvale.protocol.wire.DemandReport;
import org.coltsfootvale.protocol.wire.DispatchCounts;
import org.coltsfootvale.protocol.wire.Envelope;
import org.coltsfootvale.protocol.wire.ForwardRequest;
import org.coltsfootvale.protocol.wire.Gossip;
import org.coltsfootvale.protocol.wire.NotesReply;
import org.coltsfootvale.protocol.wire.NotesRequest;
import org.coltsfootvale.protocol.wire.PlacementsRequest;
import org.coltsfootvale.protocol.wire.PrefixChanges;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.ServingNews;
import org.coltsfootvale.protocol.wire.ShareGrant;
import org.coltsfootvale.router.http.ServingLoop;

/**
 * What the routers of a fleet tell each other: their requests at each replica, where they have
 * placed parts of prompts, and which replicas leave. In a large fleet they tell a relay, which also
 * follows the store for them. A router that cannot read the store asks another one for what that
 * one knows. Confined to the serving loop.
 */
final class FleetExchange implements PeerHandler, Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * How long a change may arrive here after another router has it: longer than changes of
   * advertisements gather at the store, and short beside the bounds for the desired state.
   */
  private static final Duration LAG_ALLOWED = Duration.ofMillis(500);

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

  /** How long a departure is told again and again, so that a lost message does no harm. */
  private static final Duration DEPARTURE_TOLD = Duration.ofSeconds(1);

  /** How many routers a new one asks; more than one, as one may be down unnoticed. */
  private static final int TELLERS = 2;

  private final RouterRegistry registry;
  private final PromptLocations locations;
  private final PeerPlacements placements;
  private final ReplicaTable replicas;
  private final List<PrefixFollower> followers;
  private final List<HostPort> seeds;
  private final HostPort self;
  private final DoubleSupplier random;
  private final InstantSource clock;
  private final PeerTransport transport;
  private final Map<String, Long> departures = new HashMap<>();
  private final List<RevisionLag> lags = new ArrayList<>();
  private final RelayTopology topology;
  private final ReaderRole reader;
  private final FleetBulletin bulletin;
  private boolean learning;
  private boolean placementsAsked;
  private int asking;

  FleetExchange(
      EntrySettings settings,
      ServingLoop loop,
      RouterRegistry registry,
      RelayTopology topology,
      ServingState state,
      PromptLocations locations,
      PeerPlacements placements,
      ReplicaTable replicas,
      List<PrefixFollower> followers,
      DoubleSupplier random,
      InstantSource clock,
      LongSupplier nanoTime) {
    this.registry = registry;
    this.locations = locations;
    this.placements = placements;
    this.replicas = replicas;
    this.followers = List.copyOf(followers);
    followers.forEach(follower -> lags.add(new RevisionLag(LAG_ALLOWED, nanoTime)));
    this.seeds = settings.seeds();
    this.self = settings.peerAddress();
    this.random = random;
    this.clock = clock;
    this.topology = topology;
    this.reader = new ReaderRole(topology, nanoTime);
    this.bulletin =
        new FleetBulletin(
            registry, topology, state, locations, placements, this.followers, nanoTime);
    followers.forEach(follower -> follower.onUpdate(this::passOn));
    this.transport =
        new NettyPeerTransport(
            new RouterIncarnation(new RouterId(settings.id()), Math.max(1, clock.millis())),
            new InetSocketAddress(self.host(), self.port()),
            List.of(settings.fleetSecret()),
            this,
            PeerTransportOptions.DEFAULT,
            clock,
            loop.group());
  }

  @Override
  public void start() {
    transport.start();
  }

  @Override
  public void stop() {
    transport.stop();
  }

  /** Takes note that a replica has announced its departure. */
  void departing(Replica replica) {
    departures.put(replica.id(), clock.millis() + DEPARTURE_TOLD.toMillis());
  }

  /** Sends the news since the last call; returns the pause until the next ones. */
  Duration tell() {
    placements.expire();
    bulletin.expire();
    departures.values().removeIf(until -> until < clock.millis());
    followStore();
    bulletin.addParts(locations.drainNews());
    if (topology.direct()) {
      send(registry.peers(), bulletin.ofThisRouter(departures.keySet()));
    } else {
      tellThroughRelays();
    }
    bulletin.told();
    return NewsPace.pause(topology.neighbours());
  }

  private void tellThroughRelays() {
    Optional<RouterAdvertisement> relay = topology.relay();
    if (relay.isPresent()) {
      topology.told(relay.get());
      send(List.of(relay.get()), bulletin.ofThisRouter(departures.keySet()));
    } else {
      List<RouterAdvertisement> others = topology.relaysElsewhere();
      others.forEach(topology::told);
      send(others, bulletin.ofDataCentre(departures.keySet()));
    }
    List<RouterAdvertisement> reporters = reporters();
    if (!reporters.isEmpty()) {
      send(reporters, bulletin.ofFleet(departures.keySet()));
    }
  }

  private void send(List<RouterAdvertisement> receivers, ServingNews news) {
    Envelope message = Envelope.newBuilder().setServingNews(news).build();
    receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
  }

  /** Returns the routers that tell this one their own news, in a fleet that has relays. */
  private List<RouterAdvertisement> reporters() {
    return registry.peers().stream().filter(peer -> bulletin.reports(peer.id())).toList();
  }

  /** Calls the store for changes, or leaves that to a relay. */
  private void followStore() {
    boolean reads = reader.reads(placements.peers() > 0);
    followers.forEach(follower -> follower.follow(reads));
  }

  /** Passes on what this router has learnt of the store to those that leave the store to it. */
  private void passOn(PrefixUpdate update) {
    if (topology.direct()) {
      return;
    }
    List<RouterAdvertisement> receivers = new ArrayList<>(reporters());
    if (!learning) {
      // What another relay has told it tells the others itself.
      topology
          .relay()
          .ifPresentOrElse(
              relay -> {
                if (reader.passesOn()) {
                  receivers.add(relay);
                }
              },
              () -> receivers.addAll(topology.relaysElsewhere()));
    }
    if (!receivers.isEmpty()) {
      Envelope message =
          Envelope.newBuilder().setPrefixChanges(PrefixMessages.changes(update)).build();
      receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
    }
  }

  @Override
  public void onPrefixChanges(RouterIncarnation from, PrefixChanges changes) {
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(changes.getPrefix())) {
        learning = true;
        boolean complete = follower.learn(PrefixMessages.update(changes));
        learning = false;
        if (!complete) {
          find(from).ifPresent(peer -> ask(peer.peerAddress(), follower));
        }
      }
    }
  }

  private Optional<RouterAdvertisement> find(RouterIncarnation router) {
    return registry.peers().stream()
        .filter(peer -> peer.id().equals(router.id().value()))
        .findFirst();
  }

  /** Returns the ids of the other routers that are heard, directly or through a relay. */
  Set<String> heardIds() {
    return bulletin.heardIds();
  }

  /** Returns the ids of the routers that should get no further callers at present. */
  Set<String> lateIds() {
    return bulletin.lateIds();
  }

  /** Takes note whether this router is late with its work. */
  void late(boolean isLate) {
    bulletin.late(isLate);
  }

  /** Asks another router for what the store does not tell. */
  void askIfUninformed() {
    List<PrefixFollower> behind =
        followers.stream().filter(follower -> !follower.current()).toList();
    if (behind.isEmpty() || asking > 0) {
      return;
    }
    List<HostPort> peers = askable();
    if (peers.isEmpty()) {
      return;
    }
    HostPort peer = peers.get((int) (random.getAsDouble() * peers.size()));
    behind.forEach(follower -> ask(peer, follower));
  }

  private List<HostPort> askable() {
    List<HostPort> known = new ArrayList<>();
    registry.peers().forEach(peer -> known.add(peer.peerAddress()));
    if (known.isEmpty()) {
      seeds.stream().filter(seed -> !seed.equals(self)).forEach(known::add);
    }
    return known;
  }

  private void ask(HostPort peer, PrefixFollower follower) {
    Envelope question =
        Envelope.newBuilder()
            .setPrefixRequest(PrefixRequest.newBuilder().setPrefix(follower.prefix()))
            .build();
    asking++;
    var unused =
        transport
            .request(peer, question, REQUEST_TIMEOUT)
            .whenComplete(
                (reply, failure) -> {
                  asking--;
                  if (failure != null) {
                    LOGGER.atFine().log(
                        "%s does not tell of %s: %s",
                        peer, follower.prefix(), Failures.unwrap(failure).getMessage());
                  } else {
                    learn(follower, reply.getPrefixReply());
                  }
                });
  }

  private void learn(PrefixFollower follower, PrefixReply reply) {
    learning = true;
    follower.learn(PrefixMessages.entries(reply.getEntriesList()), reply.getRevision());
    learning = false;
  }

  @Override
  public PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    PrefixReply.Builder reply = PrefixReply.newBuilder();
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(request.getPrefix())) {
        reply.setRevision(follower.knownRevision());
        follower.known().forEach(entry -> reply.addEntries(PrefixMessages.entry(entry)));
      }
    }
    return reply.build();
  }

  @Override
  public void onServingNews(RouterIncarnation from, ServingNews news) {
    String peer = from.id().value();
    topology.heard(peer);
    if (news.getStoreCurrent() && news.getScope() != ServingNews.Scope.ROUTER) {
      reader.heardCurrent();
    }
    boolean joins = !bulletin.reports(peer);
    bulletin.heard(peer, news);
    if (joins && bulletin.reports(peer) && !topology.direct()) {
      find(from).ifPresent(router -> send(List.of(router), bulletin.ofFleetWithAllParts()));
    }
    news.getLeavingList().forEach(replicas::leaves);
    askWhatIsMissing(from, news.getPrefixChangesList());
  }

  /** Asks a router for changes that it has seen and that do not arrive here. */
  private void askWhatIsMissing(RouterIncarnation from, List<Long> changes) {
    for (int i = 0; i < Math.min(followers.size(), changes.size()); i++) {
      PrefixFollower follower = followers.get(i);
      if (lags.get(i).heard(changes.get(i), follower.knownRevision())) {
        find(from).ifPresent(peer -> ask(peer.peerAddress(), follower));
      }
    }
  }

  /**
   * Asks a few other routers, once after the start, where parts of prompts are. A relay tells those
   * that report to it unasked.
   */
  void askPlacements() {
    if (placementsAsked || (!topology.direct() && topology.relay().isPresent())) {
      return;
    }
    List<HostPort> peers = askable();
    if (peers.isEmpty()) {
      return;
    }
    placementsAsked = true;
    Envelope question =
        Envelope.newBuilder().setPlacementsRequest(PlacementsRequest.getDefaultInstance()).build();
    for (int asked = 0; asked < TELLERS && !peers.isEmpty(); asked++) {
      HostPort peer = peers.remove((int) (random.getAsDouble() * peers.size()));
      var unused =
          transport
              .request(peer, question, REQUEST_TIMEOUT)
              .whenComplete(
                  (reply, failure) -> {
                    if (failure == null) {
                      bulletin.takeParts(reply.getServingNews());
                    } else {
                      LOGGER.atFine().log(
                          "%s does not tell of placements: %s",
                          peer, Failures.unwrap(failure).getMessage());
                    }
                  });
    }
  }

  @Override
  public ServingNews onPlacementsRequest(RouterIncarnation from) {
    ServingNews.Builder news = ServingNews.newBuilder();
    for (PromptLocations.Placed placed : locations.all()) {
      news.addParts(placed.part()).addPartReplicas(placed.cache());
    }
    return news.build();
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {}

  @Override
  public void onGossip(RouterIncarnation from, Gossip message) {}

  @Override
  public void onDispatchCounts(RouterIncarnation from, DispatchCounts counts) {}

  @Override
  public ShareGrant onDemandReport(RouterIncarnation from, DemandReport report) {
    throw notServed();
  }

  @Override
  public NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request) {
    throw notServed();
  }

  @Override
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    responder.fail(notServed());
  }

  private static ColtsfootvaleException notServed() {
    return ColtsfootvaleException.notRun(
        ErrorKind.MALFORMED_REQUEST, "This router takes its state from the platform's store.");
  }
}
