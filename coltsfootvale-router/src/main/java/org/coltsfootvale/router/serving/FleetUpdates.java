package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.dispatch.PeerRequestCounts;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.registry.UpdateThrottle;
import org.coltsfootvale.core.registry.UpdateTimings;
import org.coltsfootvale.core.store.PrefixFollower;
import org.coltsfootvale.core.store.StorePosition;
import org.coltsfootvale.core.support.RendezvousHashing;
import org.coltsfootvale.protocol.wire.ReplicaDeparture;
import org.coltsfootvale.protocol.wire.RouterUpdate;

/**
 * Builds the updates that a router sends about itself, its data centre or the fleet, and merges
 * those of other routers into its view. Confined to the serving loop.
 */
final class FleetUpdates {

  /** An unchanged list of the routers that an update covers is repeated after this many rounds. */
  private static final int ROUTERS_INTERVAL_ROUNDS = 5;

  private final RouterRegistry registry;
  private final RelayTopology topology;
  private final ServingState state;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts peerRequestCounts;
  private final FollowedPrefixes followed;
  private final QuarantineUpdates quarantine;
  private final LongSupplier nanoTime;
  private final Map<String, PeerStatus> peerStatuses = new HashMap<>();
  private final List<PromptCacheLocations.PartLocation> ownParts = new ArrayList<>();
  private final List<PromptCacheLocations.PartLocation> reportedParts = new ArrayList<>();
  private final List<PromptCacheLocations.PartLocation> relayedParts = new ArrayList<>();
  private Map<Long, Integer> sentInFlight = Map.of();
  private final Map<RouterUpdate.Scope, Set<Long>> sentRouters =
      new EnumMap<>(RouterUpdate.Scope.class);
  private boolean lagging;
  private final UpdateThrottle updateThrottle;
  private SentState lastSent = new SentState(Set.of(), false, 0, List.of(), Set.of());
  private long round;

  FleetUpdates(
      RouterRegistry registry,
      RelayTopology topology,
      ServingState state,
      PromptCacheLocations locations,
      PeerRequestCounts peerRequestCounts,
      FollowedPrefixes followed,
      QuarantineUpdates quarantine,
      LongSupplier nanoTime) {
    this.registry = registry;
    this.topology = topology;
    this.state = state;
    this.locations = locations;
    this.peerRequestCounts = peerRequestCounts;
    this.followed = followed;
    this.quarantine = quarantine;
    this.nanoTime = nanoTime;
    this.updateThrottle = new UpdateThrottle(nanoTime);
  }

  /** Merges an update from another router. */
  void onUpdate(String peer, RouterUpdate update) {
    recordParts(update);
    recordPauses(update);
    quarantine.onUpdate(update);
    boolean ownRelay = topology.relay().filter(relay -> relay.id().equals(peer)).isPresent();
    if (update.getScope() == RouterUpdate.Scope.FLEET && !ownRelay) {
      // The sums of this peer are already part of those from this router's relay.
      peerRequestCounts.remove(peer);
      return;
    }
    Map<Long, Integer> inFlight = inFlightOf(update);
    if (update.getScope() == RouterUpdate.Scope.FLEET) {
      sentInFlight.forEach((replica, count) -> inFlight.merge(replica, -count, Integer::sum));
      inFlight.values().removeIf(count -> count <= 0);
    }
    peerRequestCounts.onUpdate(peer, inFlight);
    collectForRelaying(update);
    PeerStatus previous = peerStatuses.get(peer);
    if (previous == null) {
      quarantine.republish();
    }
    Set<Long> routers =
        update.getRoutersCount() > 0 || previous == null
            ? Set.copyOf(update.getRoutersList())
            : previous.routers();
    peerStatuses.put(
        peer,
        new PeerStatus(
            update.getScope(),
            update.getSentToAll(),
            routers,
            Set.copyOf(update.getLateRoutersList()),
            update.getStoreCurrent(),
            nanoTime.getAsLong()));
  }

  private static Map<Long, Integer> inFlightOf(RouterUpdate update) {
    Map<Long, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < Math.min(update.getReplicasCount(), update.getInFlightCount()); i++) {
      inFlight.put(update.getReplicas(i), update.getInFlight(i));
    }
    return inFlight;
  }

  private void recordPauses(RouterUpdate update) {
    int count = Math.min(update.getPausedReplicasCount(), update.getPausedMillisCount());
    for (int i = 0; i < count; i++) {
      state.recordPeerPause(
          update.getPausedReplicas(i), Duration.ofMillis(update.getPausedMillis(i)));
    }
  }

  /** Records the locations of prompt parts. */
  void recordParts(RouterUpdate update) {
    partsOf(update).forEach(locations::onPeerPlacement);
  }

  /** Records the evidence about prompt parts that crash replicas. */
  void recordQuarantine(RouterUpdate update) {
    quarantine.onUpdate(update);
  }

  private void collectForRelaying(RouterUpdate update) {
    if (update.getScope() == RouterUpdate.Scope.ROUTER && !update.getSentToAll()) {
      reportedParts.addAll(partsOf(update));
    } else if (update.getScope() == RouterUpdate.Scope.DATA_CENTRE) {
      relayedParts.addAll(partsOf(update));
    }
  }

  private static List<PromptCacheLocations.PartLocation> partsOf(RouterUpdate update) {
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>();
    for (int i = 0; i < Math.min(update.getPartsCount(), update.getPartReplicasCount()); i++) {
      parts.add(
          new PromptCacheLocations.PartLocation(update.getParts(i), update.getPartReplicas(i)));
    }
    return parts;
  }

  /** Adds prompt parts that this router has placed to the next update. */
  void addParts(List<PromptCacheLocations.PartLocation> placed) {
    ownParts.addAll(placed);
  }

  /**
   * Sets whether this router is lagging and should receive no further callers; returns whether that
   * has changed.
   */
  boolean setLagging(boolean isLagging) {
    boolean changed = lagging != isLagging;
    lagging = isLagging;
    return changed;
  }

  /** Removes routers that have sent no update for the lifetime of one. */
  void expire() {
    long lifeNanos = UpdateTimings.timeToLive(topology.exchangeGroupSize()).toNanos();
    long now = nanoTime.getAsLong();
    peerStatuses.values().removeIf(peer -> now - peer.receivedNanos() > lifeNanos);
  }

  /** Returns whether a router sends this one updates about itself and relies on its updates. */
  boolean reports(String routerId) {
    PeerStatus peer = peerStatuses.get(routerId);
    return peer != null
        && peer.scope() == RouterUpdate.Scope.ROUTER
        && topology.reliesOnThisRouter(routerId, peer.sendsToAll());
  }

  /** Returns the routers that send this one updates about themselves and rely on its updates. */
  List<RouterAdvertisement> reporters() {
    return registry.peers().stream().filter(peer -> reports(peer.id())).toList();
  }

  /** Returns the ids of the other routers whose updates arrive, directly or through a relay. */
  Set<String> activePeerIds() {
    Set<String> ids = new HashSet<>(peerStatuses.keySet());
    peerStatuses.values().forEach(peer -> ids.addAll(idsOf(peer.routers())));
    ids.remove(registry.self().id());
    return ids;
  }

  /** Returns the ids of the lagging routers, this one included. */
  Set<String> laggingIds() {
    Set<String> ids = new HashSet<>();
    peerStatuses.values().forEach(peer -> ids.addAll(idsOf(peer.laggingRouters())));
    ids.remove(registry.self().id());
    if (lagging) {
      ids.add(registry.self().id());
    }
    return ids;
  }

  private Set<String> idsOf(Set<Long> hashes) {
    Set<String> ids = new HashSet<>();
    hashes.forEach(hash -> registry.idOf(hash).ifPresent(ids::add));
    return ids;
  }

  /**
   * Returns whether this router has to send an update about itself in this round.
   *
   * @param receivers the ids of the routers that receive it
   */
  boolean due(Set<String> receivers, List<ReplicaDeparture> recentDepartures) {
    SentState latest =
        new SentState(
            Set.copyOf(receivers),
            lagging,
            state.desiredStateVersion(),
            followed.all().stream().map(PrefixFollower::latestChange).toList(),
            state.pauses().keySet());
    boolean urgent =
        !ownParts.isEmpty()
            || !recentDepartures.isEmpty()
            || quarantine.pending()
            || !latest.equals(lastSent);
    lastSent = latest;
    return updateThrottle.shouldPublish(urgent, !sentInFlight.equals(state.inFlightByReplica()));
  }

  /** Returns the update about this router alone. */
  RouterUpdate ofThisRouter(List<ReplicaDeparture> recentDepartures) {
    sentInFlight = state.inFlightByReplica();
    return updateBuilder(RouterUpdate.Scope.ROUTER, recentDepartures, sentInFlight, ownParts)
        .addAllLateRouters(
            lagging ? Set.of(RendezvousHashing.hash(registry.self().id())) : Set.of())
        .setStoreCurrent(followed.readCurrent())
        .setSentToAll(topology.fullMesh())
        .build();
  }

  /** Returns the update about this router and those that report to it. */
  RouterUpdate ofDataCentre(List<ReplicaDeparture> recentDepartures) {
    Map<Long, Integer> inFlight = state.inFlightByReplica();
    Set<String> routers = new HashSet<>();
    for (String id : peerStatuses.keySet()) {
      if (reports(id)) {
        routers.add(id);
        peerRequestCounts
            .inFlightOf(id)
            .forEach((replica, count) -> inFlight.merge(replica, count, Integer::sum));
      }
    }
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>(ownParts);
    parts.addAll(reportedParts);
    RouterUpdate.Builder update =
        updateBuilder(RouterUpdate.Scope.DATA_CENTRE, recentDepartures, inFlight, parts);
    return addRouters(update, routers).setStoreCurrent(followed.readCurrent()).build();
  }

  /** Returns the update about all routers in this router's view. */
  RouterUpdate ofFleet(List<ReplicaDeparture> recentDepartures) {
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>(ownParts);
    parts.addAll(reportedParts);
    parts.addAll(relayedParts);
    return ofFleet(recentDepartures, parts);
  }

  /** Returns a full update for a router that has just begun to report to this one. */
  RouterUpdate ofFleetWithAllParts(List<ReplicaDeparture> departures) {
    RouterUpdate.Builder update = ofFleet(departures, locations.all()).toBuilder();
    quarantine.addAllTo(update);
    return update.build();
  }

  /** Returns the placed prompt parts and all departures, for a router that has just started. */
  RouterUpdate ofPlacements(List<ReplicaDeparture> departures) {
    RouterUpdate.Builder update =
        RouterUpdate.newBuilder()
            .addAllDepartures(departures)
            .setDesiredStateVersion(state.desiredStateVersion());
    quarantine.addAllTo(update);
    locations
        .all()
        .forEach(placed -> update.addParts(placed.part()).addPartReplicas(placed.cache()));
    return update.build();
  }

  private RouterUpdate ofFleet(
      List<ReplicaDeparture> recentDepartures, List<PromptCacheLocations.PartLocation> parts) {
    Map<Long, Integer> inFlight = state.inFlightByReplica();
    peerRequestCounts
        .inFlight()
        .forEach((replica, count) -> inFlight.merge(replica, count, Integer::sum));
    RouterUpdate.Builder update =
        updateBuilder(RouterUpdate.Scope.FLEET, recentDepartures, inFlight, parts);
    return addRouters(update, activePeerIds())
        .setStoreCurrent(followed.readCurrent() || relayCurrent())
        .build();
  }

  private boolean relayCurrent() {
    return peerStatuses.values().stream()
        .anyMatch(peer -> peer.scope() != RouterUpdate.Scope.ROUTER && peer.storeCurrent());
  }

  /** Clears what has been sent and begins the next round. */
  void onSent() {
    ownParts.clear();
    reportedParts.clear();
    relayedParts.clear();
    round++;
  }

  private RouterUpdate.Builder updateBuilder(
      RouterUpdate.Scope scope,
      List<ReplicaDeparture> recentDepartures,
      Map<Long, Integer> inFlight,
      List<PromptCacheLocations.PartLocation> parts) {
    RouterUpdate.Builder update = RouterUpdate.newBuilder().setScope(scope);
    inFlight.forEach((replica, count) -> update.addReplicas(replica).addInFlight(count));
    parts.forEach(placed -> update.addParts(placed.part()).addPartReplicas(placed.cache()));
    for (PrefixFollower follower : followed.all()) {
      StorePosition latest = follower.latestChange();
      update.addPrefixChanges(latest.revision()).addPrefixEras(latest.era());
    }
    state
        .pauses()
        .forEach(
            (replica, left) ->
                update.addPausedReplicas(replica).addPausedMillis((int) left.toMillis()));
    quarantine.addRecentTo(update);
    return update
        .addAllDepartures(recentDepartures)
        .setDesiredStateVersion(state.desiredStateVersion());
  }

  /** Adds the routers that an update covers if they have changed, or once in several rounds. */
  private RouterUpdate.Builder addRouters(RouterUpdate.Builder update, Set<String> others) {
    Set<Long> routers = new HashSet<>();
    routers.add(RendezvousHashing.hash(registry.self().id()));
    others.forEach(id -> routers.add(RendezvousHashing.hash(id)));
    if (round % ROUTERS_INTERVAL_ROUNDS == 0
        || !routers.equals(sentRouters.get(update.getScope()))) {
      sentRouters.put(update.getScope(), routers);
      update.addAllRouters(routers);
    }
    laggingIds().forEach(id -> update.addLateRouters(RendezvousHashing.hash(id)));
    return update;
  }

  /** State whose changes are sent at once. */
  private record SentState(
      Set<String> receivers,
      boolean lagging,
      long desiredStateVersion,
      List<StorePosition> latestChanges,
      Set<Long> pausedReplicas) {}

  /** The status in the latest update of a router. */
  private record PeerStatus(
      RouterUpdate.Scope scope,
      boolean sendsToAll,
      Set<Long> routers,
      Set<Long> laggingRouters,
      boolean storeCurrent,
      long receivedNanos) {}
}
