package org.coltsfootvale.core.orders;

/**
 * Brings the engines of the pools to their target state. At most one router holds a pool's lease;
 * only its sender gives orders. Thread-safe.
 */
public interface OrderSender {

  /** Takes or renews leases, and sends the orders that are due; to be called once a second. */
  void tick();

  /** Gives up all leases. */
  void stop();
}
