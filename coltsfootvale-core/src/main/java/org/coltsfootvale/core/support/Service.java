package org.coltsfootvale.core.support;

/** A component that owns threads, sockets or timers and is started and stopped once. */
public interface Service {

  /** Starts the service and returns when it is ready to use. */
  void start();

  /** Stops the service and releases its resources; does nothing if it is not running. */
  void stop();
}
