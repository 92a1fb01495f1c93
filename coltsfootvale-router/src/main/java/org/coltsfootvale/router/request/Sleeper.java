package org.coltsfootvale.router.request;

import java.time.Duration;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;

/** Waits before the next attempt; tests replace it. */
@FunctionalInterface
public interface Sleeper {

  /** Blocks the calling thread for the given time. */
  void await(Duration duration);

  /** Sleeps. */
  static void sleep(Duration duration) {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.CANCELLED, "the router is being stopped");
    }
  }
}
