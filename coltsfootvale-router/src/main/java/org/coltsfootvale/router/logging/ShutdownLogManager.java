package org.coltsfootvale.router.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open while the shutdown hooks of the process run, so that a
 * graceful stop can be followed in the log. The property {@code java.util.logging.manager} must
 * name it before any class of {@code java.util.logging} is initialised, this one included.
 */
public final class ShutdownLogManager extends LogManager {

  /** Creates the manager; called by the Java runtime. */
  public ShutdownLogManager() {}

  /** Does nothing: the Java runtime would close the handlers at the start of the shutdown. */
  @Override
  public void reset() {}
}
