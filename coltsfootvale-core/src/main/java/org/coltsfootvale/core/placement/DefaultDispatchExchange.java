package org.coltsfootvale.core.placement;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;

/**
 * Sends changed counts to every live or leaving peer, in fleets of at most {@code routersMax}
 * routers.
 */
public final class DefaultDispatchExchange implements DispatchExchange {

  private final RouterIncarnation self;
  private final Supplier<FleetView> view;
  private final InstantSource clock;
  private final DispatchExchangeOptions options;
  private final Map<RouterId, ReceivedCounts> received = new HashMap<>();
  private Map<EngineId, DispatchCounts.Count> lastSent = Map.of();
  private Instant nextCompleteAt = Instant.EPOCH;
  private FleetView peersView = FleetView.empty();
  private List<RouterIncarnation> peers = List.of();

  /** Creates the exchange of one router. */
  public DefaultDispatchExchange(
      RouterIncarnation self,
      Supplier<FleetView> view,
      InstantSource clock,
      DispatchExchangeOptions options) {
    this.self = self;
    this.view = view;
    this.clock = clock;
    this.options = options;
  }

  @Override
  public synchronized List<AddressedCounts> dueMessages(DispatchCounts own) {
    List<RouterIncarnation> peers = peers();
    received.keySet().retainAll(peers.stream().map(RouterIncarnation::id).toList());
    if (peers.size() >= options.routersMax()) {
      return List.of();
    }
    DispatchCounts message = message(own, clock.instant());
    if (!message.complete() && message.counts().isEmpty()) {
      return List.of();
    }
    return peers.stream().map(peer -> new AddressedCounts(peer, message)).toList();
  }

  private DispatchCounts message(DispatchCounts own, Instant now) {
    Map<EngineId, DispatchCounts.Count> currentCounts = byEngine(own);
    List<DispatchCounts.Count> changes = new ArrayList<>();
    for (DispatchCounts.Count count : own.counts()) {
      if (!count.equals(lastSent.get(count.engine()))) {
        changes.add(count);
      }
    }
    for (EngineId engine : lastSent.keySet()) {
      if (!currentCounts.containsKey(engine)) {
        changes.add(new DispatchCounts.Count(engine, 0, 0));
      }
    }
    lastSent = currentCounts;
    if (now.isBefore(nextCompleteAt)) {
      return new DispatchCounts(false, changes);
    }
    nextCompleteAt = now.plus(options.completePeriod());
    return own;
  }

  @Override
  public synchronized void onCounts(RouterIncarnation from, DispatchCounts counts) {
    ReceivedCounts previous = received.get(from.id());
    if (previous != null && previous.router().number() > from.number()) {
      return;
    }
    boolean sameIncarnation = previous != null && previous.router().equals(from);
    if (!counts.complete() && !sameIncarnation) {
      return;
    }
    Map<EngineId, DispatchCounts.Count> merged = new HashMap<>();
    if (previous != null && !counts.complete()) {
      merged.putAll(previous.byEngine());
    }
    merged.putAll(byEngine(counts));
    received.put(
        from.id(), new ReceivedCounts(from, merged, clock.instant().plus(options.validFor())));
  }

  private static Map<EngineId, DispatchCounts.Count> byEngine(DispatchCounts counts) {
    Map<EngineId, DispatchCounts.Count> byEngine = new HashMap<>();
    counts.counts().forEach(count -> byEngine.put(count.engine(), count));
    return byEngine;
  }

  @Override
  public synchronized Optional<DispatchCounts.Count> countAt(EngineId engine) {
    if (peers().size() >= options.routersMax()) {
      return Optional.empty();
    }
    Instant now = clock.instant();
    int requests = 0;
    long tokens = 0;
    for (RouterIncarnation peer : peers()) {
      ReceivedCounts counts = received.get(peer.id());
      if (counts == null || !now.isBefore(counts.validUntil())) {
        return Optional.empty();
      }
      DispatchCounts.Count count = counts.byEngine().get(engine);
      if (count != null) {
        requests += count.outstandingRequests();
        tokens += count.queuedTokens();
      }
    }
    return Optional.of(new DispatchCounts.Count(engine, requests, tokens));
  }

  /** Returns the peers that may have requests outstanding, recomputed when the view changes. */
  private List<RouterIncarnation> peers() {
    FleetView current = view.get();
    if (current.equals(peersView)) {
      return peers;
    }
    List<RouterIncarnation> found = new ArrayList<>();
    for (RouterView router : current.routers().values()) {
      boolean serves = router.liveness() == Liveness.LIVE || router.liveness() == Liveness.LEAVING;
      if (serves && !router.router().id().equals(self.id())) {
        found.add(router.router());
      }
    }
    peersView = current;
    peers = found;
    return found;
  }

  private record ReceivedCounts(
      RouterIncarnation router, Map<EngineId, DispatchCounts.Count> byEngine, Instant validUntil) {}
}
