package org.coltsfootvale.core.replay;

import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.once.DefaultKeyPrefixes;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.orders.OrderSender;
import org.coltsfootvale.core.release.ReleaseLog;

/**
 * The decisions of one run of a router.
 *
 * @param self the run
 * @param prefixes mints and parses keys
 * @param keys the memory of keys
 * @param log the release log
 * @param orders gives orders
 */
record ReplayRouter(
    RouterIncarnation self,
    DefaultKeyPrefixes prefixes,
    IdempotencyRegistry keys,
    ReleaseLog log,
    OrderSender orders) {

  /** Does what a running router does every second. */
  void tick() {
    keys.tick();
    orders.tick();
  }
}
