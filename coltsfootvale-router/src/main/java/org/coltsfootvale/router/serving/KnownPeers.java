package org.coltsfootvale.router.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;

/** The other routers to which requests can be sent. Confined to the serving loop. */
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
   * @param seeds addresses of routers, used while none is advertised
   * @param random returns numbers in [0, 1), to distribute requests
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

  /** Returns the addresses of at most {@code countMax} routers, picked at random. */
  List<HostPort> some(int countMax) {
    List<HostPort> candidates = addresses();
    List<HostPort> picked = new ArrayList<>();
    while (picked.size() < countMax && !candidates.isEmpty()) {
      picked.add(candidates.remove((int) (random.getAsDouble() * candidates.size())));
    }
    return picked;
  }

  private List<HostPort> addresses() {
    List<HostPort> candidates = new ArrayList<>();
    registry.peers().forEach(peer -> candidates.add(peer.peerAddress()));
    if (candidates.isEmpty()) {
      seeds.stream().filter(seed -> !seed.equals(ownAddress)).forEach(candidates::add);
    }
    return candidates;
  }

  /** Returns the address of one router, picked at random. */
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
