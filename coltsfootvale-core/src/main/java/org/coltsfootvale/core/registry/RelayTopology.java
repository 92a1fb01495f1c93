package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Decides which routers exchange updates, so that the cost grows linearly with the fleet. In a
 * small fleet every router sends to every other. In a larger one each data centre has a relay to
 * which its other routers report: the router with the most capacity, by rendezvous hashing among
 * equals, so that all routers select the same one without coordination. A relay that does not
 * respond is skipped for a while. Confined to one thread.
 */
public final class RelayTopology {

  /** The largest fleet in which every router sends to every other: 132 messages a round. */
  static final int FULL_MESH_MAX = 12;

  /** How long a relay may take to respond before the next one replaces it. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

  /** How long an unresponsive relay is skipped; a restart takes some seconds. */
  static final Duration SKIP_TIME = Duration.ofSeconds(3);

  private static final Comparator<RouterAdvertisement> RANKING =
      Comparator.comparingDouble(RouterAdvertisement::capacityCores)
          .thenComparingLong(router -> RendezvousHashing.hash(router.id()))
          .reversed();

  private final RouterRegistry registry;
  private final LongSupplier nanoTime;
  private final Map<String, Long> awaitedSinceNanosById = new HashMap<>();
  private final Map<String, Long> skippedSinceNanosById = new HashMap<>();
  private List<RouterAdvertisement> ranked = List.of();
  private Map<String, List<RouterAdvertisement>> rankedByDataCentre = Map.of();

  /**
   * Creates a topology.
   *
   * @param registry the advertised routers
   * @param nanoTime the monotonic clock in nanoseconds
   */
  public RelayTopology(RouterRegistry registry, LongSupplier nanoTime) {
    this.registry = registry;
    this.nanoTime = nanoTime;
  }

  /** Returns whether every router sends updates to every other. */
  public boolean fullMesh() {
    return registry.size() <= FULL_MESH_MAX;
  }

  /** Returns the relay of this router's data centre; empty if it is this router. */
  public Optional<RouterAdvertisement> relay() {
    return relayOf(registry.self().dataCentre()).filter(relay -> !registry.isSelf(relay));
  }

  /** Returns the relays of the other data centres. */
  public List<RouterAdvertisement> remoteRelays() {
    List<RouterAdvertisement> relays = new ArrayList<>();
    for (String dataCentre : rankedByDataCentre().keySet()) {
      if (!dataCentre.equals(registry.self().dataCentre())) {
        relayOf(dataCentre).ifPresent(relays::add);
      }
    }
    return relays;
  }

  /** Returns this router's rank among the candidates for the relay of its data centre, from 0. */
  public int rank() {
    int rank = 0;
    for (RouterAdvertisement router : inDataCentre(registry.self().dataCentre())) {
      if (registry.isSelf(router)) {
        return rank;
      }
      rank += skipped(router) ? 0 : 1;
    }
    return rank;
  }

  /** Returns the number of data centres that have routers. */
  public int dataCentres() {
    return rankedByDataCentre().size();
  }

  /** Returns the number of routers that exchange updates directly, this one included. */
  public int exchangeGroupSize() {
    return fullMesh() ? registry.size() : inDataCentre(registry.self().dataCentre()).size();
  }

  /**
   * Returns whether another router relies on this one for the updates of others and for the changes
   * in the store. Their views of the fleet may differ, so that one sends to all routers while the
   * other uses relays: then the relay of its data centre serves it, and no other router.
   *
   * @param routerId the id of a router that sends this one updates about itself
   * @param sendsToAll whether it sends them to all routers, rather than to its relay
   */
  public boolean reliesOnThisRouter(String routerId, boolean sendsToAll) {
    if (!sendsToAll) {
      return true;
    }
    return !fullMesh()
        && relay().isEmpty()
        && registry
            .find(routerId)
            .filter(router -> router.dataCentre().equals(registry.self().dataCentre()))
            .isPresent();
  }

  /** Records that an update was sent to a relay, which is expected to respond with its own. */
  public void onUpdateSent(RouterAdvertisement relay) {
    long now = nanoTime.getAsLong();
    Long since = awaitedSinceNanosById.putIfAbsent(relay.id(), now);
    if (since != null && now - since > RESPONSE_TIMEOUT.toNanos()) {
      awaitedSinceNanosById.remove(relay.id());
      skippedSinceNanosById.put(relay.id(), now);
    }
  }

  /** Records that an update was received from a router. */
  public void onUpdateReceived(String routerId) {
    awaitedSinceNanosById.remove(routerId);
  }

  private Optional<RouterAdvertisement> relayOf(String dataCentre) {
    List<RouterAdvertisement> candidates = inDataCentre(dataCentre);
    return candidates.stream()
        .filter(router -> registry.isSelf(router) || !skipped(router))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  private boolean skipped(RouterAdvertisement router) {
    Long since = skippedSinceNanosById.get(router.id());
    if (since != null && nanoTime.getAsLong() - since > SKIP_TIME.toNanos()) {
      skippedSinceNanosById.remove(router.id());
      return false;
    }
    return since != null;
  }

  private List<RouterAdvertisement> inDataCentre(String dataCentre) {
    return rankedByDataCentre().getOrDefault(dataCentre, List.of());
  }

  private Map<String, List<RouterAdvertisement>> rankedByDataCentre() {
    List<RouterAdvertisement> routers = registry.routers();
    if (routers != ranked) {
      ranked = routers;
      rankedByDataCentre = new LinkedHashMap<>();
      for (RouterAdvertisement router : routers) {
        rankedByDataCentre
            .computeIfAbsent(router.dataCentre(), name -> new ArrayList<>())
            .add(router);
      }
      rankedByDataCentre.values().forEach(list -> list.sort(RANKING));
    }
    return rankedByDataCentre;
  }
}
