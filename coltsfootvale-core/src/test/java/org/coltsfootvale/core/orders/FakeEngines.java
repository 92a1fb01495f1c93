package org.coltsfootvale.core.orders;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PoolSpec;

/** Engines that apply orders, with or without a check of the fencing number. */
final class FakeEngines implements OrderTransport {

  private final boolean checkFencing;
  private final Map<EngineId, OrderState> states = new HashMap<>();
  private final Map<EngineId, Long> highestFencing = new HashMap<>();
  private final Queue<Runnable> heldOrders = new ArrayDeque<>();
  private boolean holding;
  private int sent;

  FakeEngines(boolean checkFencing) {
    this.checkFencing = checkFencing;
  }

  void holdOrders() {
    holding = true;
  }

  void deliverHeldOrders() {
    holding = false;
    while (!heldOrders.isEmpty()) {
      heldOrders.remove().run();
    }
  }

  int sent() {
    return sent;
  }

  OrderState state(EngineId engine) {
    return states.getOrDefault(engine, new OrderState(0, null));
  }

  @Override
  public CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target) {
    CompletableFuture<OrderResult> reply = new CompletableFuture<>();
    sent++;
    Runnable delivery = () -> reply.complete(applyOrder(engine, fencing, target));
    if (holding) {
      heldOrders.add(delivery);
    } else {
      delivery.run();
    }
    return reply;
  }

  @Override
  public CompletableFuture<OrderState> read(EngineId engine) {
    return CompletableFuture.completedFuture(state(engine));
  }

  /** Applies an order immediately, whether or not orders are held. */
  OrderResult applyOrder(EngineId engine, long fencing, PoolSpec target) {
    if (checkFencing && fencing < highestFencing.getOrDefault(engine, 0L)) {
      return OrderResult.STALE_FENCING;
    }
    highestFencing.merge(engine, fencing, Math::max);
    states.put(engine, new OrderState(fencing, target));
    return OrderResult.APPLIED;
  }
}
