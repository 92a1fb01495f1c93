package org.coltsfootvale.router;

import org.coltsfootvale.router.logging.ShutdownLogManager;

/**
 * The router daemon. Ends with 0 after a shutdown, 2 if the arguments or the settings are refused,
 * and 1 if it cannot start.
 */
public final class RouterMain {

  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private RouterMain() {}

  /** Starts the daemon; it runs until it is sent SIGTERM or SIGINT. */
  public static void main(String[] args) {
    System.setProperty(LOG_MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    int exit = RouterDaemon.run(args, System.err);
    if (exit != 0) {
      System.exit(exit);
    }
  }
}
