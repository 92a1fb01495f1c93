package org.coltsfootvale.core.support;

/** Something that owns threads, sockets or timers and is started and stopped once. */
public interface Service {

  /** Starts the service; returns when it can be used. */
  void start();

  /** Stops the service and releases what it owns; does nothing if it is not running. */
  void stop();
}
