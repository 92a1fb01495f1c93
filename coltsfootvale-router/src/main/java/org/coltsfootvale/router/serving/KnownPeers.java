package org.coltsfootvale.router.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;

/** The other routers that can be asked. Confined to the serving loop. */
final class KnownPeers {

  private final RouterRegistry registry;
  private final HostPort ownAddress;
  private final List<HostPort> seeds;
  private final DoubleSupplier random;

  /**
   * Creates the peers of a router.
   *
   * @param registry the advertised routers
   * @param ownAddress where others connect to this router
   * @param seeds where routers may be found while none is advertised
   * @param random gives numbers in [0, 1) that spread questions
   */
  KnownPeers(
      RouterRegistry registry, HostPort ownAddress, List<HostPort> seeds, DoubleSupplier random) {
    this.registry = registry;
    this.ownAddress = ownAddress;
    this.seeds = List.copyOf(seeds);
    this.random = random;
  }

  /** Returns this router's advertisement. */
  RouterAdvertisement self() {
    return registry.self();
  }

  /** Returns the other advertised routers. */
  List<RouterAdvertisement> all() {
    return registry.peers();
  }

  /** Returns where some routers, picked at random, can be asked. */
  List<HostPort> some(int countMax) {
    List<HostPort> known = askable();
    List<HostPort> picked = new ArrayList<>();
    while (picked.size() < countMax && !known.isEmpty()) {
      picked.add(known.remove((int) (random.getAsDouble() * known.size())));
    }
    return picked;
  }

  private List<HostPort> askable() {
    List<HostPort> known = new ArrayList<>();
    registry.peers().forEach(peer -> known.add(peer.peerAddress()));
    if (known.isEmpty()) {
      seeds.stream().filter(seed -> !seed.equals(ownAddress)).forEach(known::add);
    }
    return known;
  }

  /** Returns where one router, picked at random, can be asked. */
  Optional<HostPort> any() {
    return some(1).stream().findFirst();
  }

  /** Returns the advertisement of a router that has sent a message. */
  Optional<RouterAdvertisement> find(RouterIncarnation router) {
    return registry.peers().stream()
        .filter(peer -> peer.id().equals(router.id().value()))
        .findFirst();
  }
}
