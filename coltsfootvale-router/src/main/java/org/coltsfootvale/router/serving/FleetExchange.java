package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.RevisionLag;
import org.coltsfootvale.core.store.StoreEntry;
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
import org.coltsfootvale.protocol.wire.PrefixEntry;
import org.coltsfootvale.protocol.wire.PrefixReply;
import org.coltsfootvale.protocol.wire.PrefixRequest;
import org.coltsfootvale.protocol.wire.ServingNews;
import org.coltsfootvale.protocol.wire.ShareGrant;
import org.coltsfootvale.router.http.ServingLoop;

/**
 * What the routers of a fleet tell each other: their requests at each replica, where they have
 * placed parts of prompts, and which replicas leave. A router that cannot read the store asks
 * another one for what that one knows. Confined to the serving loop.
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
  private final ServingState state;
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
  private boolean placementsAsked;
  private int asking;

  FleetExchange(
      EntrySettings settings,
      ServingLoop loop,
      RouterRegistry registry,
      ServingState state,
      PromptLocations locations,
      PeerPlacements placements,
      ReplicaTable replicas,
      List<PrefixFollower> followers,
      DoubleSupplier random,
      InstantSource clock,
      LongSupplier nanoTime) {
    this.registry = registry;
    this.state = state;
    this.locations = locations;
    this.placements = placements;
    this.replicas = replicas;
    this.followers = List.copyOf(followers);
    followers.forEach(follower -> lags.add(new RevisionLag(LAG_ALLOWED, nanoTime)));
    this.seeds = settings.seeds();
    this.self = settings.peerAddress();
    this.random = random;
    this.clock = clock;
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

  /** Sends the news since the last call to all other routers. */
  void tell() {
    placements.expire();
    departures.values().removeIf(until -> until < clock.millis());
    Envelope message = Envelope.newBuilder().setServingNews(news()).build();
    for (RouterAdvertisement peer : registry.peers()) {
      transport.send(peer.peerAddress(), message);
    }
  }

  private ServingNews news() {
    ServingNews.Builder news = ServingNews.newBuilder();
    state
        .inFlightByReplica()
        .forEach((replica, inFlight) -> news.addReplicas(replica).addInFlight(inFlight));
    for (PromptLocations.Placed placed : locations.drainNews()) {
      news.addParts(placed.part()).addPartReplicas(placed.cache());
    }
    followers.forEach(follower -> news.addPrefixChanges(follower.latestChange()));
    return news.addAllLeaving(departures.keySet()).build();
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

  private static void learn(PrefixFollower follower, PrefixReply reply) {
    List<StoreEntry> entries = new ArrayList<>(reply.getEntriesCount());
    for (PrefixEntry entry : reply.getEntriesList()) {
      entries.add(
          new StoreEntry(
              entry.getKey(), Optional.of(entry.getValue().toByteArray()), entry.getRevision()));
    }
    follower.learn(entries, reply.getRevision());
  }

  @Override
  public PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    PrefixReply.Builder reply = PrefixReply.newBuilder();
    for (PrefixFollower follower : followers) {
      if (follower.prefix().equals(request.getPrefix())) {
        reply.setRevision(follower.knownRevision());
        for (StoreEntry entry : follower.known()) {
          reply.addEntries(
              PrefixEntry.newBuilder()
                  .setKey(entry.key())
                  .setValue(ByteString.copyFrom(entry.value().orElse(new byte[0])))
                  .setRevision(entry.revision()));
        }
      }
    }
    return reply.build();
  }

  @Override
  public void onServingNews(RouterIncarnation from, ServingNews news) {
    Map<Long, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < Math.min(news.getReplicasCount(), news.getInFlightCount()); i++) {
      inFlight.put(news.getReplicas(i), news.getInFlight(i));
    }
    placements.heard(from.id().value(), inFlight);
    takeParts(news);
    news.getLeavingList().forEach(replicas::leaves);
    askWhatIsMissing(from.id().value(), news.getPrefixChangesList());
  }

  /** Asks a router for changes that it has seen and that do not arrive here. */
  private void askWhatIsMissing(String routerId, List<Long> changes) {
    for (int i = 0; i < Math.min(followers.size(), changes.size()); i++) {
      PrefixFollower follower = followers.get(i);
      if (lags.get(i).heard(changes.get(i), follower.knownRevision())) {
        registry.peers().stream()
            .filter(peer -> peer.id().equals(routerId))
            .findFirst()
            .ifPresent(peer -> ask(peer.peerAddress(), follower));
      }
    }
  }

  private void takeParts(ServingNews news) {
    for (int i = 0; i < Math.min(news.getPartsCount(), news.getPartReplicasCount()); i++) {
      locations.heard(new PromptLocations.Placed(news.getParts(i), news.getPartReplicas(i)));
    }
  }

  /** Asks a few other routers, once after the start, where parts of prompts are. */
  void askPlacements() {
    if (placementsAsked) {
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
                      takeParts(reply.getServingNews());
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
