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
import org.coltsfootvale.protocol.wire.RouterUpdate;
import org.coltsfootvale.protocol.wire.ShareGrant;
import org.coltsfootvale.router.http.ServingLoop;
import org.coltsfootvale.router.metrics.PeerMessageMetrics;

/**
 * Exchanges state between the routers of a fleet: their requests at each replica, the placements of
 * prompt parts, and departing replicas. In a large fleet routers send their updates to a relay,
 * which also reads the store for them. A router that cannot read the store requests the state from
 * a peer. Confined to the serving loop.
 */
final class FleetExchange implements PeerHandler, Service {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * How many peers a new router requests placements from; more than one, as one may be down
   * undetected.
   */
  private static final int PLACEMENT_SOURCES = 2;

  private final PromptCacheLocations locations;
  private final PeerRequestCounts peerRequestCounts;
  private final PeerTransport transport;
  private final DepartureUpdates departures;
  private final RelayTopology topology;
  private final FleetUpdates updates;
  private final KnownPeers peers;
  private final PeerMessageMetrics messages = new PeerMessageMetrics();
  private final DecisionLog log;
  private final StoreExchange storeExchange;
  private boolean placementsRequested;
  private String relayId = "";

  FleetExchange(
      EntrySettings settings,
      ServingLoop loop,
      RelayTopology topology,
      FleetUpdates updates,
      KnownPeers peers,
      PromptCacheLocations locations,
      PeerRequestCounts peerRequestCounts,
      DepartureUpdates departures,
      FollowedPrefixes followed,
      InstantSource clock,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.log = log;
    this.locations = locations;
    this.peerRequestCounts = peerRequestCounts;
    this.departures = departures;
    this.topology = topology;
    this.updates = updates;
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
    this.storeExchange =
        new StoreExchange(
            topology,
            peers,
            updates,
            transport,
            followed,
            new StoreReaderRole(topology, nanoTime),
            messages,
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

  /** Returns the counts of the messages that are sent. */
  PeerMessageMetrics messageMetrics() {
    return messages;
  }

  /** Sends the updates since the last call; returns the delay until the next call. */
  Duration sendUpdates() {
    peerRequestCounts.expire();
    updates.expire();
    List<ReplicaDeparture> recentDepartures = departures.recent();
    storeExchange.follow(peerRequestCounts.activePeerCount() > 0);
    updates.addParts(locations.drainUpdates());
    if (topology.fullMesh()) {
      List<RouterAdvertisement> receivers = peers.all();
      if (updates.due(ids(receivers), recentDepartures)) {
        send(receivers, updates.ofThisRouter(recentDepartures));
      }
    } else {
      sendThroughRelays(recentDepartures);
    }
    List<RouterAdvertisement> reporters = updates.reporters();
    if (!reporters.isEmpty()) {
      send(reporters, updates.ofFleet(recentDepartures));
    }
    updates.onSent();
    return UpdateTimings.interval(topology.exchangeGroupSize());
  }

  private void sendThroughRelays(List<ReplicaDeparture> recentDepartures) {
    Optional<RouterAdvertisement> relay = topology.relay();
    recordRelay(relay.orElse(peers.self()));
    if (relay.isPresent()) {
      topology.onUpdateSent(relay.get());
      if (updates.due(Set.of(relay.get().id()), recentDepartures)) {
        send(List.of(relay.get()), updates.ofThisRouter(recentDepartures));
      }
    } else {
      List<RouterAdvertisement> others = topology.remoteRelays();
      others.forEach(topology::onUpdateSent);
      send(others, updates.ofDataCentre(recentDepartures));
    }
  }

  private static Set<String> ids(List<RouterAdvertisement> routers) {
    return routers.stream().map(RouterAdvertisement::id).collect(Collectors.toSet());
  }

  private void recordRelay(RouterAdvertisement relay) {
    if (!relay.id().equals(relayId)) {
      relayId = relay.id();
      log.record(
          Decision.of(DecisionEvent.RELAY_CHANGED)
              .with("relay", relayId)
              .with("routers", topology.exchangeGroupSize()));
    }
  }

  private void send(List<RouterAdvertisement> receivers, RouterUpdate update) {
    Envelope message = Envelope.newBuilder().setServingNews(update).build();
    messages.record(
        PeerMessageMetrics.Kind.UPDATE, PeerMessageMetrics.Cause.INTERVAL, receivers.size());
    receivers.forEach(receiver -> transport.send(receiver.peerAddress(), message));
  }

  /** Returns the ids of the other routers whose updates arrive, directly or through a relay. */
  Set<String> activePeerIds() {
    return updates.activePeerIds();
  }

  /** Returns the ids of the lagging routers, which should receive no further callers. */
  Set<String> laggingIds() {
    return updates.laggingIds();
  }

  /**
   * Sets whether this router is lagging.
   *
   * @param inProgress its requests in progress, for the log
   */
  void setLagging(boolean isLagging, int inProgress) {
    if (updates.setLagging(isLagging)) {
      log.record(
          Decision.of(DecisionEvent.LATENESS_CHANGED)
              .with("late", isLagging)
              .with("requests_in_progress", inProgress));
    }
  }

  /** Requests from a peer the state that could not be read from the store. */
  void requestMissingState() {
    storeExchange.requestMissingState();
  }

  @Override
  public void onPrefixChanges(RouterIncarnation from, PrefixChanges changes) {
    storeExchange.onChanges(from, changes);
  }

  @Override
  public PrefixReply onPrefixRequest(RouterIncarnation from, PrefixRequest request) {
    return storeExchange.reply(request);
  }

  @Override
  public void onRouterUpdate(RouterIncarnation from, RouterUpdate update) {
    String peer = from.id().value();
    topology.onUpdateReceived(peer);
    if (update.getStoreCurrent() && update.getScope() != RouterUpdate.Scope.ROUTER) {
      storeExchange.onCurrentRelay();
    }
    boolean newReporter = !updates.reports(peer);
    updates.onUpdate(peer, update);
    if (newReporter && updates.reports(peer)) {
      peers
          .find(from)
          .ifPresent(
              router -> send(List.of(router), updates.ofFleetWithAllParts(departures.all())));
    }
    departures.onUpdate(update);
    storeExchange.requestMissingChanges(from, update);
  }

  /**
   * Requests the placements of prompt parts from a few peers, once after the start. A relay sends
   * them without a request to the routers that report to it.
   */
  void requestPlacements() {
    if (placementsRequested || (!topology.fullMesh() && topology.relay().isPresent())) {
      return;
    }
    List<HostPort> sources = peers.some(PLACEMENT_SOURCES);
    if (sources.isEmpty()) {
      return;
    }
    placementsRequested = true;
    Envelope request =
        Envelope.newBuilder().setPlacementsRequest(PlacementsRequest.getDefaultInstance()).build();
    for (HostPort peer : sources) {
      var unused =
          transport
              .request(peer, request, StoreExchange.REQUEST_TIMEOUT)
              .whenComplete(
                  (reply, failure) -> {
                    if (failure == null) {
                      RouterUpdate update = reply.getServingNews();
                      updates.recordParts(update);
                      updates.recordQuarantine(update);
                      departures.onUpdate(update);
                      storeExchange.requestIfLater(peer, update.getDesiredStateVersion());
                    } else {
                      LOGGER.atFine().log(
                          "peer %s returned no placements: %s",
                          peer, Failures.unwrap(failure).getMessage());
                    }
                  });
    }
  }

  @Override
  public RouterUpdate onPlacementsRequest(RouterIncarnation from) {
    return updates.ofPlacements(departures.all());
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {}

  @Override
  public void onGossip(RouterIncarnation from, Gossip message) {}

  @Override
  public void onDispatchCounts(RouterIncarnation from, DispatchCounts counts) {}

  @Override
  public ShareGrant onDemandReport(RouterIncarnation from, DemandReport report) {
    throw notSupported();
  }

  @Override
  public NotesReply onNotesRequest(RouterIncarnation from, NotesRequest request) {
    throw notSupported();
  }

  @Override
  public void onForward(
      RouterIncarnation from, ForwardRequest request, ForwardResponder responder) {
    responder.fail(notSupported());
  }

  private static ColtsfootvaleException notSupported() {
    return ColtsfootvaleException.notRun(
        ErrorKind.MALFORMED_REQUEST, "This router takes its state from the platform's store.");
  }
}
