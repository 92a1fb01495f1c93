package org.coltsfootvale.core.orders;

import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.release.PoolSpec;
import org.jspecify.annotations.Nullable;

/** Carries orders to engines. */
public interface OrderTransport {

  /** Sends an order; the future tells what the engine answered, or fails if that is unknown. */
  CompletableFuture<OrderResult> send(EngineId engine, long fencing, PoolSpec target);

  /** Reads which order the engine has last taken over. */
  CompletableFuture<OrderState> read(EngineId engine);

  /** What an engine answered to an order. */
  enum OrderResult {
    APPLIED,
    STALE_FENCING,
    REFUSED
  }

  /**
   * The order that an engine has last taken over.
   *
   * @param fencing its fencing number, 0 if none
   * @param target the target, or null if none
   */
  record OrderState(long fencing, @Nullable PoolSpec target) {}
}
