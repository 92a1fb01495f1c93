package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.StoreReaderRole;
import org.coltsfootvale.core.registry.UpdateTimings;
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
import org.coltsfootvale.protocol.wire.ReplicaDeparture;
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

  /** How many routers a new one asks; more than one, as one may be down unnoticed. */
  private static final int TELLERS = 2;

  private final PromptCacheLocations locations;
  private final PeerRequestCounts placements;
  private final PeerTransport transport;
  private final DepartureNews departures;
  private final RelayTopology topology;
  private final FleetBulletin bulletin;
  private final KnownPeers peers;
  private final DecisionLog log;
  private final StoreExchange stored;
  private boolean placementsAsked;
  private String relayId = "";

  FleetExchange(
      EntrySettings settings,
      ServingLoop loop,
      RelayTopology topology,
      FleetBulletin bulletin,
      KnownPeers peers,
      PromptCacheLocations locations,
      PeerRequestCounts placements,
      DepartureNews departures,
      FollowedPrefixes followed,
      InstantSource clock,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.log = log;
    this.locations = locations;
    this.placements = placements;
    this.departures = departures;
    this.topology = topology;
    this.bulletin = bulletin;
    this.peers = peers;
    HostPort self = settings.peerAddress();
    this.transport =
        new NettyPeerTransport(
            new RouterIncarnation(new RouterId(settings.id()), Math.max(1, clock.millis())),
            new InetSocketAddress(self.host(), self.port()),
            List.of(settings.fleetSecret()),
            this,
            PeerTransportOptions.DEFAULT,
            clock,
            loop.group());
    this.stored =
        new StoreExchange(
            topology,
            peers,
            bulletin,
            transport,
            followed,
            new StoreReaderRole(topology, nanoTime),
            log,
            nanoTime);
  }

  @Override
  public void start() {
    transport.start();
  }

  @Override
  public void stop() {
    transport.stop();
  }

  /** Sends the news since the last call; returns the pause until the next ones. */
  Duration tell() {
    placements.expire();
    bulletin.expire();
    List<ReplicaDeparture> leaving = departures.latest();
    stored.follow(placements.activePeerCount() > 0);
    bulletin.addParts(locations.drainUpdates());
    if (topology.fullMesh()) {
      List<RouterAdvertisement> receivers = peers.all();
      if (bulletin.due(ids(receivers), leaving)) {
        send(receivers, bulletin.ofThisRouter(leaving));
      }
    } else {
      tellThroughRelays(leaving);
    }
    bulletin.told();
    return UpdateTimings.interval(topology.exchangeGroupSize());
  }

  private void tellThroughRelays(List<ReplicaDeparture> leaving) {
    Optional<RouterAdvertisement> relay = topology.relay();
    noteRelay(relay.orElse(peers.self()));
    if (relay.isPresent()) {
      topology.onUpdateSent(relay.get());
      if (bulletin.due(Set.of(relay.get().id()), leaving)) {
        send(List.of(relay.get()), bulletin.ofThisRouter(leaving));
      }
    } else {
      List<RouterAdvertisement> others = topology.remoteRelays();
      others.forEach(topology::onUpdateSent);
      send(others, bulletin.ofDataCentre(leaving));
    }
    List<RouterAdvertisement> reporters = bulletin.reporters();
    if (!reporters.isEmpty()) {
      send(reporters, bulletin.ofFleet(leaving));
    }
  }

  private static Set<String> ids(List<RouterAdvertisement> routers) {
    return routers.stream().map(RouterAdvertisement::id).collect(Collectors.toSet());
  }

  private void noteRelay(RouterAdvertisement relay) {
    if (!relay.id().equals(relayId)) {
      relayId = relay.id();
      log.record(
          Decision.of(DecisionEvent.RELAY_CHANGED)
              .with("relay", relayId)
              .with("routers", topology.exchangeGroupSize()));
    }
  }

  private void send(List<RouterAdvertisement> receivers, ServingNews news) {
    Envelope message = Envelope.newBuilder().setServingNews(news).build();
    receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
  }

  /** Returns the ids of the other routers that are heard, directly or through a relay. */
  Set<String> heardIds() {
    return bulletin.heardIds();
  }

  /** Returns the ids of the routers that should get no further callers at present. */
  Set<String> lateIds() {
    return bulletin.lateIds();
  }

  /**
   * Takes note whether this router is late with its work.
   *
   * @param inProgress its requests in progress, for the log
   */
  void late(boolean isLate, int inProgress) {
    if (bulletin.late(isLate)) {
      log.record(
          Decision.of(DecisionEvent.LATENESS_CHANGED)
              .with("late", isLate)
              .with("requests_in_progress", inProgress));
    }
  }

  /** Asks another router for what the store does not tell. */
  void askIfUninformed() {
    stored.askIfUninformed();
  }

  @Override
  public void onPrefixChanges(RouterIncarnation from, PrefixChanges changes) {
    stored.onChanges(from, changes);
  }

  @Override
  public PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    return stored.reply(request);
  }

  @Override
  public void onServingNews(RouterIncarnation from, ServingNews news) {
    String peer = from.id().value();
    topology.onUpdateReceived(peer);
    if (news.getStoreCurrent() && news.getScope() != ServingNews.Scope.ROUTER) {
      stored.heardCurrent();
    }
    boolean joins = !bulletin.reports(peer);
    bulletin.heard(peer, news);
    if (joins && bulletin.reports(peer) && !topology.fullMesh()) {
      peers
          .find(from)
          .ifPresent(
              router -> send(List.of(router), bulletin.ofFleetWithAllParts(departures.all())));
    }
    departures.heard(news);
    stored.askWhatIsMissing(from, news);
  }

  /**
   * Asks a few other routers, once after the start, where parts of prompts are. A relay tells those
   * that report to it unasked.
   */
  void askPlacements() {
    if (placementsAsked || (!topology.fullMesh() && topology.relay().isPresent())) {
      return;
    }
    List<HostPort> asked = peers.some(TELLERS);
    if (asked.isEmpty()) {
      return;
    }
    placementsAsked = true;
    Envelope question =
        Envelope.newBuilder().setPlacementsRequest(PlacementsRequest.getDefaultInstance()).build();
    for (HostPort peer : asked) {
      var unused =
          transport
              .request(peer, question, StoreExchange.REQUEST_TIMEOUT)
              .whenComplete(
                  (reply, failure) -> {
                    if (failure == null) {
                      ServingNews news = reply.getServingNews();
                      bulletin.takeParts(news);
                      departures.heard(news);
                      stored.askIfLater(peer, news.getDesiredStateVersion());
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
    return bulletin.ofPlacements(departures.all());
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
