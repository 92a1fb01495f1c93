package org.coltsfootvale.core.replay;

import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.DefaultKeyPrefixes;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.orders.OrderSender;
import org.coltsfootvale.core.release.ReleaseLog;

/**
 * The decision components of one router incarnation.
 *
 * @param self the incarnation
 * @param prefixes creates and parses keys
 * @param keys the registry of idempotency keys
 * @param log the release log
 * @param orders sends orders
 */
record ReplayRouter(
    RouterIncarnation self,
    DefaultKeyPrefixes prefixes,
    IdempotencyRegistry keys,
    ReleaseLog log,
    OrderSender orders) {

  /** Performs the work that a router does every second. */
  void tick() {
    keys.tick();
    orders.tick();
  }
}
