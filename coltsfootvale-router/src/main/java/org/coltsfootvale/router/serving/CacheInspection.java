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

/** Asks the replicas that the census names for what their caches hold. Confined to the loop. */
final class CacheInspection {

  private final String routerId;
  private final CacheDiscovery census;
  private final RouterRegistry registry;
  private final RelayTopology topology;
  private final Supplier<Set<String>> heardIds;
  private final ServingState state;
  private final PromptCacheLocations locations;
  private final CacheInspector inspector;
  private final DecisionLog log;

  CacheInspection(
      String routerId,
      CacheDiscovery census,
      RouterRegistry registry,
      RelayTopology topology,
      Supplier<Set<String>> heardIds,
      ServingState state,
      PromptCacheLocations locations,
      CacheInspector inspector,
      DecisionLog log) {
    this.routerId = routerId;
    this.census = census;
    this.registry = registry;
    this.topology = topology;
    this.heardIds = heardIds;
    this.state = state;
    this.locations = locations;
    this.inspector = inspector;
    this.log = log;
  }

  /** Returns whether all is known of caches that will be known shortly. */
  boolean known() {
    return census.finished();
  }

  /** Asks what is due. */
  void inspect() {
    if (census.finished()) {
      return;
    }
    if (topology.fullMesh()) {
      Collection<String> advertised = ids(registry.routers());
      census
          .replicasToQuery(routerId, advertised, heardIds.get(), state.engines())
          .forEach(this::ask);
    } else if (topology.relay().isEmpty()) {
      Collection<String> relays = ids(topology.remoteRelays());
      Set<String> heard = new HashSet<>(heardIds.get());
      heard.retainAll(relays);
      census.replicasToQueryAtRelay(routerId, relays, heard, state.engines()).forEach(this::ask);
    } else {
      census.awaitPeers(state.engines());
    }
  }

  private static Collection<String> ids(List<RouterAdvertisement> routers) {
    return routers.stream().map(RouterAdvertisement::id).toList();
  }

  private void ask(Replica engine) {
    var unused =
        inspector
            .heldParts(engine.address())
            .whenComplete(
                (parts, failure) -> {
                  census.onQueryEnded();
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
