package org.coltsfootvale.router.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open while the shutdown hooks of the process run, so that a
 * graceful stop can be followed in the log.
 */
public final class ShutdownLogManager extends LogManager {

  private static final String PROPERTY = "java.util.logging.manager";

  /** Creates the manager; called by the Java runtime. */
  public ShutdownLogManager() {}

  /** Makes this the manager of the process; to be called before the first logger is made. */
  public static void install() {
    System.setProperty(PROPERTY, ShutdownLogManager.class.getName());
  }

  /** Does nothing: the Java runtime would close the handlers at the start of the shutdown. */
  @Override
  public void reset() {}
}
