package org.coltsfootvale.router;

import org.coltsfootvale.router.logging.ShutdownLogManager;

/**
 * The router daemon. Exits with 0 after a shutdown, 1 if it fails to start, and 2 if the arguments
 * or the settings are invalid.
 */
public final class RouterMain {

  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private RouterMain() {}

  /** Starts the daemon, which runs until it receives SIGTERM or SIGINT. */
  public static void main(String[] args) {
    System.setProperty(LOG_MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    int exit = RouterDaemon.run(args, System.err);
    if (exit != 0) {
      System.exit(exit);
    }
  }
}
