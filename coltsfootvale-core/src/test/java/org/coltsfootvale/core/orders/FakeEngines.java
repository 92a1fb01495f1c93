package org.coltsfootvale.core.orders;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PoolSpec;

/** Engines that take over orders, with or without a check of the fencing number. */
final class FakeEngines implements OrderTransport {

  private final boolean checkFencing;
  private final Map<EngineId, OrderState> states = new HashMap<>();
  private final Map<EngineId, Long> highest = new HashMap<>();
  private final Queue<Runnable> held = new ArrayDeque<>();
  private boolean hold;
  private int sent;

  FakeEngines(boolean checkFencing) {
    this.checkFencing = checkFencing;
  }

  void hold() {
    hold = true;
  }

  void releaseHeld() {
    hold = false;
    while (!held.isEmpty()) {
      held.remove().run();
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
    Runnable order = () -> reply.complete(take(engine, fencing, target));
    if (hold) {
      held.add(order);
    } else {
      order.run();
    }
    return reply;
  }

  @Override
  public CompletableFuture<OrderState> read(EngineId engine) {
    return CompletableFuture.completedFuture(state(engine));
  }

  /** Takes an order over at once, whether or not orders are held. */
  OrderResult take(EngineId engine, long fencing, PoolSpec target) {
    if (checkFencing && fencing < highest.getOrDefault(engine, 0L)) {
      return OrderResult.STALE_FENCING;
    }
    highest.merge(engine, fencing, Math::max);
    states.put(engine, new OrderState(fencing, target));
    return OrderResult.APPLIED;
  }
}
