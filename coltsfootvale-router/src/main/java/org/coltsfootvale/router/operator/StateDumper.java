package org.coltsfootvale.router.operator;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.membership.Membership;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.protocol.PeerTransport;
import org.coltsfootvale.router.control.PlatformReaderRole;
import org.coltsfootvale.router.request.Drain;

/** Creates state dumps of this process. */
public final class StateDumper {

  private final Sources sources;
  private final Instant startedAt;

  /** Creates a dumper that reports the current time as the start of the process. */
  public StateDumper(Sources sources) {
    this.sources = sources;
    this.startedAt = sources.clock().instant();
  }

  /** The components whose state is dumped. */
  public record Sources(
      RouterIncarnation self,
      RouterSettings settings,
      ReleaseLog releases,
      Membership membership,
      Gossip gossip,
      PeerTransport transport,
      IdempotencyRegistry keys,
      Drain drain,
      PlatformReaderRole role,
      CircuitBreakers circuits,
      InstantSource clock) {}

  /** Returns the current state. */
  public StateDump dump() {
    FleetView view = sources.membership().view();
    FleetState state = sources.releases().current();
    return new StateDump(
        sources.self().id().value(),
        sources.self().number(),
        sources.settings().router().dataCentre().value(),
        sources.clock().instant(),
        startedAt,
        sources.drain().draining(),
        sources.releases().ready(),
        state.revision(),
        policyFields(state.policy()),
        sources.role().isReader(),
        sources.drain().inProgress(),
        sources.keys().size(),
        engines(view),
        routers(view),
        sources.membership().observedEngines().stream().map(EngineId::value).toList(),
        sources.gossip().counters(),
        sources.transport().counters(),
        openCircuits(state));
  }

  private static Map<String, Object> policyFields(PolicySpec policy) {
    return Map.of("loadBound", policy.loadBound(), "candidates", policy.candidates());
  }

  private static List<EngineView> engines(FleetView view) {
    return view.engines().values().stream()
        .sorted(Comparator.comparing(EngineView::id))
        .limit(StateDump.ENTRIES_MAX)
        .toList();
  }

  private static List<RouterView> routers(FleetView view) {
    return view.routers().values().stream()
        .sorted(Comparator.comparing((RouterView router) -> router.router().id()))
        .limit(StateDump.ENTRIES_MAX)
        .toList();
  }

  private List<String> openCircuits(FleetState state) {
    Stream<String> engines = state.engines().keySet().stream().map(EngineId::value);
    Stream<String> replicas =
        state.services().values().stream()
            .flatMap(service -> service.replicas().stream())
            .map(replica -> replica.id());
    return Stream.concat(engines, replicas)
        .filter(backend -> !sources.circuits().isClosed(backend))
        .sorted()
        .limit(StateDump.ENTRIES_MAX)
        .toList();
  }
}
