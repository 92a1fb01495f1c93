package org.coltsfootvale.core.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PoolSpec;

/**
 * Sends orders to the engines of the pools whose lease this router holds. Creates no threads. The
 * number of platform calls per pool depends only on the time to live of the lease and the number of
 * candidates.
 */
public final class DefaultOrderSender implements OrderSender {

  /** The key prefix of leases and intents. */
  public static final String ORDERS_PREFIX = "coltsfootvale/orders/";

  private final RouterIncarnation self;
  private final KeyValueStore store;
  private final OrderTransport transport;
  private final Supplier<FleetState> states;
  private final OrderCandidates candidates;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private final Map<PoolId, PoolReconciler> pools = new HashMap<>();
  private boolean stopped;

  /**
   * Creates a sender without leases.
   *
   * @param self this router, the owner of its leases
   * @param store the platform's key-value service
   * @param transport sends the orders
   * @param states supplies the newest applied release state
   * @param candidates determines the pools whose lease this router may acquire
   * @param monotonicNanos a monotonic clock
   * @param timings the time limits by which senders exclude each other
   */
  public DefaultOrderSender(
      RouterIncarnation self,
      KeyValueStore store,
      OrderTransport transport,
      Supplier<FleetState> states,
      OrderCandidates candidates,
      LongSupplier monotonicNanos,
      OrderTimings timings) {
    this.self = self;
    this.store = store;
    this.transport = transport;
    this.states = states;
    this.candidates = candidates;
    this.monotonicNanos = monotonicNanos;
    this.timings = timings;
  }

  @Override
  public synchronized void tick() {
    if (stopped) {
      return;
    }
    FleetState state = states.get();
    removeWithdrawn(state);
    for (PoolSpec target : state.pools().values()) {
      PoolReconciler reconciler = pools.computeIfAbsent(target.id(), this::newReconciler);
      reconciler.tick(state, target, members(state, target), candidates.isCandidate(target.id()));
    }
  }

  @Override
  public synchronized void stop() {
    stopped = true;
    pools.values().forEach(PoolReconciler::stop);
    pools.clear();
  }

  private void removeWithdrawn(FleetState state) {
    pools
        .entrySet()
        .removeIf(
            entry -> {
              boolean withdrawn = !state.pools().containsKey(entry.getKey());
              if (withdrawn) {
                entry.getValue().stop();
              }
              return withdrawn;
            });
  }

  private static List<EngineSpec> members(FleetState state, PoolSpec target) {
    return state.engines().values().stream()
        .filter(engine -> engine.pool().equals(target.id()))
        .toList();
  }

  private PoolReconciler newReconciler(PoolId pool) {
    String prefix = ORDERS_PREFIX + pool;
    PoolLease lease = new PoolLease(prefix + "/lease", self, store, monotonicNanos, timings);
    IntentStore intents = new IntentStore(prefix + "/intent", store);
    return new PoolReconciler(lease, intents, transport, monotonicNanos, timings);
  }
}
