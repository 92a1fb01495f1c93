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
 * Decides who tells whom, so that the cost of news grows with the fleet and not with its square.
 * The routers of a small fleet all tell each other. In a larger one each data centre has a relay
 * that the others of it report to: the router with the most capacity, by rendezvous hashing among
 * equals, so that all agree without asking. A relay that stays silent is passed over for a while.
 * Confined to one thread.
 */
public final class RelayTopology {

  /** The largest fleet in which all routers tell each other: 132 messages a round. */
  static final int DIRECT_MAX = 12;

  /** How long a relay may stay silent before the next one takes its place. */
  static final Duration SILENCE_MAX = Duration.ofMillis(800);

  /** How long a silent relay is passed over: a restart takes some seconds. */
  static final Duration PASSED_OVER = Duration.ofSeconds(3);

  private static final Comparator<RouterAdvertisement> RANKING =
      Comparator.comparingDouble(RouterAdvertisement::capacityCores)
          .thenComparingLong(router -> RendezvousHashing.hash(router.id()))
          .reversed();

  private final RouterRegistry registry;
  private final LongSupplier nanoTime;
  private final Map<String, Long> askedNanosById = new HashMap<>();
  private final Map<String, Long> passedOverNanosById = new HashMap<>();
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

  /** Returns whether the fleet is so small that all routers tell each other. */
  public boolean fullMesh() {
    return registry.size() <= DIRECT_MAX;
  }

  /** Returns the relay of this router's data centre; empty if it is this router itself. */
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

  /** Returns this router's place among those that may become the relay of its data centre. */
  public int rank() {
    int rank = 0;
    for (RouterAdvertisement router : inDataCentre(registry.self().dataCentre())) {
      if (registry.isSelf(router)) {
        return rank;
      }
      rank += passedOver(router) ? 0 : 1;
    }
    return rank;
  }

  /** Returns the number of data centres that have routers. */
  public int dataCentres() {
    return rankedByDataCentre().size();
  }

  /** Returns the number of routers that hear directly of each other. */
  public int exchangeGroupSize() {
    return fullMesh() ? registry.size() : inDataCentre(registry.self().dataCentre()).size();
  }

  /** Takes note that a relay was told news, and is expected to answer with its own. */
  public void onUpdateSent(RouterAdvertisement relay) {
    long now = nanoTime.getAsLong();
    Long since = askedNanosById.putIfAbsent(relay.id(), now);
    if (since != null && now - since > SILENCE_MAX.toNanos()) {
      askedNanosById.remove(relay.id());
      passedOverNanosById.put(relay.id(), now);
    }
  }

  /** Takes note that a router was heard. */
  public void onUpdateReceived(String routerId) {
    askedNanosById.remove(routerId);
  }

  private Optional<RouterAdvertisement> relayOf(String dataCentre) {
    List<RouterAdvertisement> candidates = inDataCentre(dataCentre);
    return candidates.stream()
        .filter(router -> registry.isSelf(router) || !passedOver(router))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  private boolean passedOver(RouterAdvertisement router) {
    Long since = passedOverNanosById.get(router.id());
    if (since != null && nanoTime.getAsLong() - since > PASSED_OVER.toNanos()) {
      passedOverNanosById.remove(router.id());
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
