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
  private final HostPort self;
  private final List<HostPort> seeds;
  private final DoubleSupplier random;

  /**
   * Creates the peers of a router.
   *
   * @param registry the advertised routers
   * @param self where others connect to this router
   * @param seeds where routers may be found while none is advertised
   * @param random gives numbers in [0, 1) that spread questions
   */
  KnownPeers(RouterRegistry registry, HostPort self, List<HostPort> seeds, DoubleSupplier random) {
    this.registry = registry;
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.random = random;
  }

  /** Returns where routers can be asked, in a list of its own. */
  List<HostPort> askable() {
    List<HostPort> known = new ArrayList<>();
    registry.peers().forEach(peer -> known.add(peer.peerAddress()));
    if (known.isEmpty()) {
      seeds.stream().filter(seed -> !seed.equals(self)).forEach(known::add);
    }
    return known;
  }

  /** Returns where one router, picked at random, can be asked. */
  Optional<HostPort> any() {
    List<HostPort> known = askable();
    return known.isEmpty()
        ? Optional.empty()
        : Optional.of(known.get((int) (random.getAsDouble() * known.size())));
  }

  /** Returns the advertisement of a router that has sent a message. */
  Optional<RouterAdvertisement> find(RouterIncarnation router) {
    return registry.peers().stream()
        .filter(peer -> peer.id().equals(router.id().value()))
        .findFirst();
  }
}
