package org.coltsfootvale.core.orders;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PoolSpec;
import org.jspecify.annotations.Nullable;

/** Sends orders to engines. */
public interface OrderTransport {

  /**
   * Sends an order; the future completes with the engine's result, or fails if the result is
   * unknown.
   */
  CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target);

  /** Reads the order that an engine last applied. */
  CompletableFuture<OrderState> read(EngineId engine);

  /** The result of an order at an engine. */
  enum OrderResult {
    APPLIED,
    STALE_FENCING,
    REFUSED
  }

  /**
   * The order that an engine last applied.
   *
   * @param fencing its fencing number, 0 if none
   * @param target its target, or null if none
   */
  record OrderState(long fencing, @Nullable PoolSpec target) {}
}
