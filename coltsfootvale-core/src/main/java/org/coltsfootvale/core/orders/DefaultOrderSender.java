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
 * Sends the orders of the pools whose lease this router holds. Owns no threads. The platform's
 * calls per pool depend on the lease's time to live and on the number of candidates only.
 */
public final class DefaultOrderSender implements OrderSender {

  /** The prefix of the keys of leases and intents. */
  public static final String ORDERS_PREFIX = "coltsfootvale/orders/";

  private final RouterIncarnation self;
  private final KeyValueStore store;
  private final OrderTransport transport;
  private final Supplier<FleetState> states;
  private final OrderCandidates candidates;
  private final LongSupplier monotonicNanos;
  private final OrderTimings timings;
  private final Map<PoolId, PoolOrders> pools = new HashMap<>();
  private boolean stopped;

  /**
   * Creates a sender without leases.
   *
   * @param self this router, the owner of its leases
   * @param store the platform's service
   * @param transport carries the orders
   * @param states gives the newest applied release state
   * @param candidates tells which pools this router may take
   * @param monotonicNanos a clock that is never set
   * @param timings the times by which senders exclude each other
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
    dropWithdrawn(state);
    for (PoolSpec target : state.pools().values()) {
      PoolOrders orders = pools.computeIfAbsent(target.id(), this::create);
      orders.tick(state, target, members(state, target), candidates.isCandidate(target.id()));
    }
  }

  @Override
  public synchronized void stop() {
    stopped = true;
    pools.values().forEach(PoolOrders::stop);
    pools.clear();
  }

  private void dropWithdrawn(FleetState state) {
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

  private PoolOrders create(PoolId pool) {
    String prefix = ORDERS_PREFIX + pool;
    PoolLease lease = new PoolLease(prefix + "/lease", self, store, monotonicNanos, timings);
    IntentLog intents = new IntentLog(prefix + "/intent", store);
    return new PoolOrders(lease, intents, transport, monotonicNanos, timings);
  }
}
