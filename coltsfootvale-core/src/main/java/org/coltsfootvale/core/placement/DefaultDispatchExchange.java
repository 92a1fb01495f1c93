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

/** Sends changed counts to every live router, in fleets up to a size. */
public final class DefaultDispatchExchange implements DispatchExchange {

  private final RouterIncarnation self;
  private final Supplier<FleetView> view;
  private final InstantSource clock;
  private final DispatchExchangeOptions options;
  private final Map<RouterId, Heard> heard = new HashMap<>();
  private Map<EngineId, DispatchCounts.Count> sent = Map.of();
  private Instant completeAt = Instant.EPOCH;
  private FleetView peersOf = FleetView.empty();
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
    heard.keySet().retainAll(peers.stream().map(RouterIncarnation::id).toList());
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
    Map<EngineId, DispatchCounts.Count> present = byEngine(own);
    List<DispatchCounts.Count> changes = new ArrayList<>();
    for (DispatchCounts.Count count : own.counts()) {
      if (!count.equals(sent.get(count.engine()))) {
        changes.add(count);
      }
    }
    for (EngineId engine : sent.keySet()) {
      if (!present.containsKey(engine)) {
        changes.add(new DispatchCounts.Count(engine, 0, 0));
      }
    }
    sent = present;
    if (now.isBefore(completeAt)) {
      return new DispatchCounts(false, changes);
    }
    completeAt = now.plus(options.completePeriod());
    return own;
  }

  @Override
  public synchronized void onCounts(RouterIncarnation from, DispatchCounts counts) {
    Heard known = heard.get(from.id());
    if (known != null && known.router().number() > from.number()) {
      return;
    }
    boolean continues = known != null && known.router().equals(from);
    if (!counts.complete() && !continues) {
      return;
    }
    Map<EngineId, DispatchCounts.Count> merged = new HashMap<>();
    if (known != null && !counts.complete()) {
      merged.putAll(known.byEngine());
    }
    merged.putAll(byEngine(counts));
    heard.put(from.id(), new Heard(from, merged, clock.instant().plus(options.validFor())));
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
      Heard counts = heard.get(peer.id());
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

  /** Returns the other routers that may have requests outstanding, read anew with each view. */
  private List<RouterIncarnation> peers() {
    FleetView current = view.get();
    if (current.equals(peersOf)) {
      return peers;
    }
    List<RouterIncarnation> found = new ArrayList<>();
    for (RouterView router : current.routers().values()) {
      boolean serves = router.liveness() == Liveness.LIVE || router.liveness() == Liveness.LEAVING;
      if (serves && !router.router().id().equals(self.id())) {
        found.add(router.router());
      }
    }
    peersOf = current;
    peers = found;
    return found;
  }

  private record Heard(
      RouterIncarnation router, Map<EngineId, DispatchCounts.Count> byEngine, Instant validUntil) {}
}
