package org.coltsfootvale.core.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.orders.OrderTransport;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PoolSpec;

/** The engines of a replay and the orders in flight to them. */
final class ReplayEngines {

  private final Map<EngineId, EngineSpec> specs = new HashMap<>();
  private final Map<EngineId, OrderTransport.OrderState> states = new HashMap<>();
  private final Map<EngineId, Long> highestFencing = new HashMap<>();
  private final Map<RouterId, Queue<Runnable>> inFlight = new HashMap<>();
  private final Set<RouterId> heldRouters = new HashSet<>();

  /** Adds the engines of a fleet state, including whether they check fencing numbers. */
  void onFleetState(FleetState state) {
    specs.putAll(state.engines());
  }

  /** Returns the transport for the orders of a router. */
  OrderTransport transportOf(RouterId router) {
    return new EngineConnection(router);
  }

  void hold(RouterId router) {
    heldRouters.add(router);
  }

  void deliver(RouterId router) {
    heldRouters.remove(router);
    List<Runnable> orders = new ArrayList<>(queue(router));
    queue(router).clear();
    orders.forEach(Runnable::run);
  }

  /** Returns the model version that an engine runs, or "none". */
  String modelVersion(EngineId engine) {
    PoolSpec target = state(engine).target();
    return target == null ? "none" : target.modelVersion();
  }

  private Queue<Runnable> queue(RouterId router) {
    return inFlight.computeIfAbsent(router, id -> new ArrayDeque<>());
  }

  private OrderTransport.OrderState state(EngineId engine) {
    return states.getOrDefault(engine, new OrderTransport.OrderState(0, null));
  }

  private OrderTransport.OrderResult applyOrder(EngineId engine, long fencing, PoolSpec target) {
    EngineSpec spec = specs.get(engine);
    boolean checks = spec != null && spec.checksFencing();
    if (checks && fencing < highestFencing.getOrDefault(engine, 0L)) {
      return OrderTransport.OrderResult.STALE_FENCING;
    }
    highestFencing.merge(engine, fencing, Math::max);
    states.put(engine, new OrderTransport.OrderState(fencing, target));
    return OrderTransport.OrderResult.APPLIED;
  }

  /** The connection of one router to the engines. */
  private final class EngineConnection implements OrderTransport {

    private final RouterId router;

    EngineConnection(RouterId router) {
      this.router = router;
    }

    @Override
    public CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target) {
      CompletableFuture<OrderResult> reply = new CompletableFuture<>();
      Runnable order = () -> reply.complete(applyOrder(engine, fencing, target));
      if (heldRouters.contains(router)) {
        queue(router).add(order);
      } else {
        order.run();
      }
      return reply;
    }

    @Override
    public CompletableFuture<OrderState> read(EngineId engine) {
      return CompletableFuture.completedFuture(state(engine));
    }
  }
}
