package org.coltsfootvale.router.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open while the shutdown hooks of the process run, so that a
 * graceful stop is logged. The property {@code java.util.logging.manager} must name it before any
 * class of {@code java.util.logging} is initialised, this one included.
 */
public final class ShutdownLogManager extends LogManager {

  /** Creates the manager; called by the Java runtime. */
  public ShutdownLogManager() {}

  /** Does nothing: the Java runtime calls this at the start of shutdown to close all handlers. */
  @Override
  public void reset() {}
}
