package org.coltsfootvale.router.serving;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.CacheDiscovery;
import org.coltsfootvale.core.dispatch.PromptCacheLocations;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.registry.RelayTopology;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.replica.Replica;

/**
 * Requests the contents of caches from the replicas selected by the discovery. Confined to the
 * loop.
 */
final class CacheInspection {

  private final String routerId;
  private final CacheDiscovery discovery;
  private final RouterRegistry registry;
  private final RelayTopology topology;
  private final Supplier<Set<String>> activePeerIds;
  private final ServingState state;
  private final PromptCacheLocations locations;
  private final CacheInspector inspector;
  private final DecisionLog log;

  CacheInspection(
      String routerId,
      CacheDiscovery discovery,
      RouterRegistry registry,
      RelayTopology topology,
      Supplier<Set<String>> activePeerIds,
      ServingState state,
      PromptCacheLocations locations,
      CacheInspector inspector,
      DecisionLog log) {
    this.routerId = routerId;
    this.discovery = discovery;
    this.registry = registry;
    this.topology = topology;
    this.activePeerIds = activePeerIds;
    this.state = state;
    this.locations = locations;
    this.inspector = inspector;
    this.log = log;
  }

  /** Returns whether all cache contents that can be expected shortly are known. */
  boolean finished() {
    return discovery.finished();
  }

  /** Sends the requests that are due. */
  void inspect() {
    if (discovery.finished()) {
      return;
    }
    if (topology.fullMesh()) {
      Collection<String> advertised = ids(registry.routers());
      discovery
          .replicasToQuery(routerId, advertised, activePeerIds.get(), state.engines())
          .forEach(this::request);
    } else if (topology.relay().isEmpty()) {
      Collection<String> relays = ids(topology.remoteRelays());
      Set<String> liveRelays = new HashSet<>(activePeerIds.get());
      liveRelays.retainAll(relays);
      discovery
          .replicasToQueryAtRelay(routerId, relays, liveRelays, state.engines())
          .forEach(this::request);
    } else {
      discovery.awaitPeers(state.engines());
    }
  }

  private static Collection<String> ids(List<RouterAdvertisement> routers) {
    return routers.stream().map(RouterAdvertisement::id).toList();
  }

  private void request(Replica engine) {
    var unused =
        inspector
            .heldParts(engine.address())
            .whenComplete(
                (parts, failure) -> {
                  discovery.onQueryEnded();
                  Decision decision =
                      Decision.of(DecisionEvent.CACHE_LISTED).with("replica", engine.id());
                  if (failure == null) {
                    locations.onCacheListing(engine, parts);
                    decision.with("parts", parts.size());
                  } else {
                    decision.with("failure", String.valueOf(Failures.unwrap(failure).getMessage()));
                  }
                  log.record(decision);
                });
  }
}
