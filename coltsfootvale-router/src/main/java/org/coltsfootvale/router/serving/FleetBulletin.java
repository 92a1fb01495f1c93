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
import org.coltsfootvale.protocol.wire.ServingNews;

/**
 * The news that a router tells, for itself, its data centre or the fleet, and what it takes from
 * those of others. Confined to the serving loop.
 */
final class FleetBulletin {

  /** How many messages name the routers once that the sender speaks for, unless these change. */
  private static final int ROUTERS_EVERY = 5;

  private final RouterRegistry registry;
  private final RelayTopology topology;
  private final ServingState state;
  private final PromptCacheLocations locations;
  private final PeerRequestCounts placements;
  private final FollowedPrefixes followed;
  private final LongSupplier nanoTime;
  private final Map<String, Speaker> speakers = new HashMap<>();
  private final List<PromptCacheLocations.PartLocation> ownParts = new ArrayList<>();
  private final List<PromptCacheLocations.PartLocation> reportedParts = new ArrayList<>();
  private final List<PromptCacheLocations.PartLocation> relayedParts = new ArrayList<>();
  private Map<Long, Integer> toldInFlight = Map.of();
  private final Map<ServingNews.Scope, Set<Long>> toldRouters =
      new EnumMap<>(ServingNews.Scope.class);
  private boolean late;
  private final UpdateThrottle newsDue;
  private ToldState told = new ToldState(Set.of(), false, 0, List.of(), Set.of());
  private long round;

  FleetBulletin(
      RouterRegistry registry,
      RelayTopology topology,
      ServingState state,
      PromptCacheLocations locations,
      PeerRequestCounts placements,
      FollowedPrefixes followed,
      LongSupplier nanoTime) {
    this.registry = registry;
    this.topology = topology;
    this.state = state;
    this.locations = locations;
    this.placements = placements;
    this.followed = followed;
    this.nanoTime = nanoTime;
    this.newsDue = new UpdateThrottle(nanoTime);
  }

  /** Takes news of another router. */
  void heard(String peer, ServingNews news) {
    takeParts(news);
    takePauses(news);
    boolean ownRelay = topology.relay().filter(relay -> relay.id().equals(peer)).isPresent();
    if (news.getScope() == ServingNews.Scope.FLEET && !ownRelay) {
      // Its sums hold what this router's relay tells already.
      placements.remove(peer);
      return;
    }
    Map<Long, Integer> inFlight = inFlightOf(news);
    if (news.getScope() == ServingNews.Scope.FLEET) {
      toldInFlight.forEach((replica, count) -> inFlight.merge(replica, -count, Integer::sum));
      inFlight.values().removeIf(count -> count <= 0);
    }
    placements.onUpdate(peer, inFlight);
    passOn(news);
    Speaker known = speakers.get(peer);
    Set<Long> routers =
        news.getRoutersCount() > 0 || known == null
            ? Set.copyOf(news.getRoutersList())
            : known.routers();
    speakers.put(
        peer,
        new Speaker(
            news.getScope(),
            routers,
            Set.copyOf(news.getLateRoutersList()),
            news.getStoreCurrent(),
            nanoTime.getAsLong()));
  }

  private static Map<Long, Integer> inFlightOf(ServingNews news) {
    Map<Long, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < Math.min(news.getReplicasCount(), news.getInFlightCount()); i++) {
      inFlight.put(news.getReplicas(i), news.getInFlight(i));
    }
    return inFlight;
  }

  private void takePauses(ServingNews news) {
    int told = Math.min(news.getPausedReplicasCount(), news.getPausedMillisCount());
    for (int i = 0; i < told; i++) {
      state.heardPause(news.getPausedReplicas(i), Duration.ofMillis(news.getPausedMillis(i)));
    }
  }

  /** Learns where parts of prompts are. */
  void takeParts(ServingNews news) {
    partsOf(news).forEach(locations::onPeerPlacement);
  }

  private void passOn(ServingNews news) {
    if (news.getScope() == ServingNews.Scope.ROUTER && !topology.fullMesh()) {
      reportedParts.addAll(partsOf(news));
    } else if (news.getScope() == ServingNews.Scope.DATA_CENTRE) {
      relayedParts.addAll(partsOf(news));
    }
  }

  private static List<PromptCacheLocations.PartLocation> partsOf(ServingNews news) {
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>();
    for (int i = 0; i < Math.min(news.getPartsCount(), news.getPartReplicasCount()); i++) {
      parts.add(new PromptCacheLocations.PartLocation(news.getParts(i), news.getPartReplicas(i)));
    }
    return parts;
  }

  /** Takes parts that this router has placed. */
  void addParts(List<PromptCacheLocations.PartLocation> placed) {
    ownParts.addAll(placed);
  }

  /**
   * Takes note whether this router is late with its work and should get no further callers; returns
   * whether that has changed.
   */
  boolean late(boolean isLate) {
    boolean changed = late != isLate;
    late = isLate;
    return changed;
  }

  /** Forgets routers that have fallen silent. */
  void expire() {
    long lifeNanos = UpdateTimings.timeToLive(topology.exchangeGroupSize()).toNanos();
    long now = nanoTime.getAsLong();
    speakers.values().removeIf(speaker -> now - speaker.heardNanos() > lifeNanos);
  }

  /** Returns whether a router tells this one its own news. */
  boolean reports(String routerId) {
    Speaker speaker = speakers.get(routerId);
    return speaker != null && speaker.scope() == ServingNews.Scope.ROUTER;
  }

  /** Returns the routers that tell this one their own news. */
  List<RouterAdvertisement> reporters() {
    return registry.peers().stream().filter(peer -> reports(peer.id())).toList();
  }

  /** Returns the ids of the other routers that are heard, directly or through a relay. */
  Set<String> heardIds() {
    Set<String> ids = new HashSet<>(speakers.keySet());
    speakers.values().forEach(speaker -> ids.addAll(idsOf(speaker.routers())));
    ids.remove(registry.self().id());
    return ids;
  }

  /** Returns the ids of the routers that are late with their work, this one included. */
  Set<String> lateIds() {
    Set<String> ids = new HashSet<>();
    speakers.values().forEach(speaker -> ids.addAll(idsOf(speaker.lateRouters())));
    ids.remove(registry.self().id());
    if (late) {
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
   * Returns whether this router has news of its own to tell in this round.
   *
   * @param receivers the ids of those that are told
   */
  boolean due(Set<String> receivers, List<ReplicaDeparture> leaving) {
    ToldState latest =
        new ToldState(
            Set.copyOf(receivers),
            late,
            state.desiredStateVersion(),
            followed.all().stream().map(PrefixFollower::latestChange).toList(),
            state.pauses().keySet());
    boolean urgent = !ownParts.isEmpty() || !leaving.isEmpty() || !latest.equals(told);
    told = latest;
    return newsDue.shouldPublish(urgent, !toldInFlight.equals(state.inFlightByReplica()));
  }

  /** Returns the news of this router alone. */
  ServingNews ofThisRouter(List<ReplicaDeparture> leaving) {
    toldInFlight = state.inFlightByReplica();
    return news(ServingNews.Scope.ROUTER, leaving, toldInFlight, ownParts)
        .addAllLateRouters(late ? Set.of(RendezvousHashing.hash(registry.self().id())) : Set.of())
        .setStoreCurrent(followed.readCurrent())
        .build();
  }

  /** Returns the news of this router and of those that report to it. */
  ServingNews ofDataCentre(List<ReplicaDeparture> leaving) {
    Map<Long, Integer> inFlight = state.inFlightByReplica();
    Set<String> routers = new HashSet<>();
    for (String id : speakers.keySet()) {
      if (reports(id)) {
        routers.add(id);
        placements
            .inFlightOf(id)
            .forEach((replica, count) -> inFlight.merge(replica, count, Integer::sum));
      }
    }
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>(ownParts);
    parts.addAll(reportedParts);
    ServingNews.Builder news = news(ServingNews.Scope.DATA_CENTRE, leaving, inFlight, parts);
    return nameRouters(news, routers).setStoreCurrent(followed.readCurrent()).build();
  }

  /** Returns the news of all routers that this one knows of. */
  ServingNews ofFleet(List<ReplicaDeparture> leaving) {
    List<PromptCacheLocations.PartLocation> parts = new ArrayList<>(ownParts);
    parts.addAll(reportedParts);
    parts.addAll(relayedParts);
    return ofFleet(leaving, parts);
  }

  /** Returns all that this router knows, for one that has just begun to report to it. */
  ServingNews ofFleetWithAllParts(List<ReplicaDeparture> departures) {
    return ofFleet(departures, locations.all());
  }

  /** Returns where parts are placed and what has departed, for a router that has just started. */
  ServingNews ofPlacements(List<ReplicaDeparture> departures) {
    ServingNews.Builder news =
        ServingNews.newBuilder()
            .addAllDepartures(departures)
            .setDesiredStateVersion(state.desiredStateVersion());
    locations.all().forEach(placed -> news.addParts(placed.part()).addPartReplicas(placed.cache()));
    return news.build();
  }

  private ServingNews ofFleet(
      List<ReplicaDeparture> leaving, List<PromptCacheLocations.PartLocation> parts) {
    Map<Long, Integer> inFlight = state.inFlightByReplica();
    placements.inFlight().forEach((replica, count) -> inFlight.merge(replica, count, Integer::sum));
    ServingNews.Builder news = news(ServingNews.Scope.FLEET, leaving, inFlight, parts);
    return nameRouters(news, heardIds())
        .setStoreCurrent(followed.readCurrent() || relayCurrent())
        .build();
  }

  private boolean relayCurrent() {
    return speakers.values().stream()
        .anyMatch(speaker -> speaker.scope() != ServingNews.Scope.ROUTER && speaker.storeCurrent());
  }

  /** Takes note that all news have been sent. */
  void told() {
    ownParts.clear();
    reportedParts.clear();
    relayedParts.clear();
    round++;
  }

  private ServingNews.Builder news(
      ServingNews.Scope scope,
      List<ReplicaDeparture> leaving,
      Map<Long, Integer> inFlight,
      List<PromptCacheLocations.PartLocation> parts) {
    ServingNews.Builder news = ServingNews.newBuilder().setScope(scope);
    inFlight.forEach((replica, count) -> news.addReplicas(replica).addInFlight(count));
    parts.forEach(placed -> news.addParts(placed.part()).addPartReplicas(placed.cache()));
    for (PrefixFollower follower : followed.all()) {
      StorePosition latest = follower.latestChange();
      news.addPrefixChanges(latest.revision()).addPrefixEras(latest.era());
    }
    state
        .pauses()
        .forEach(
            (replica, left) ->
                news.addPausedReplicas(replica).addPausedMillis((int) left.toMillis()));
    return news.addAllDepartures(leaving).setDesiredStateVersion(state.desiredStateVersion());
  }

  /** Names the routers that a message speaks for, now and then only, as they seldom change. */
  private ServingNews.Builder nameRouters(ServingNews.Builder news, Set<String> others) {
    Set<Long> routers = new HashSet<>();
    routers.add(RendezvousHashing.hash(registry.self().id()));
    others.forEach(id -> routers.add(RendezvousHashing.hash(id)));
    if (round % ROUTERS_EVERY == 0 || !routers.equals(toldRouters.get(news.getScope()))) {
      toldRouters.put(news.getScope(), routers);
      news.addAllRouters(routers);
    }
    lateIds().forEach(id -> news.addLateRouters(RendezvousHashing.hash(id)));
    return news;
  }

  /** What others must know at once when it changes. */
  private record ToldState(
      Set<String> receivers,
      boolean late,
      long desiredStateVersion,
      List<StorePosition> latestChanges,
      Set<Long> pausedReplicas) {}

  /** What a router has told last. */
  private record Speaker(
      ServingNews.Scope scope,
      Set<Long> routers,
      Set<Long> lateRouters,
      boolean storeCurrent,
      long heardNanos) {}
}
