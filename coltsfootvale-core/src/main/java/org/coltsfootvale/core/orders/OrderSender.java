package org.coltsfootvale.core.orders;

/**
 * Brings the engines of the pools to their target state. At most one router holds the lease of a
 * pool, and only its sender sends orders to the pool. Thread-safe.
 */
public interface OrderSender {

  /** Acquires or renews leases and sends the orders that are due; must be called once a second. */
  void tick();

  /** Releases all leases permanently. */
  void stop();
}
