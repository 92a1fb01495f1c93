package org.coltsfootvale.router.request;

import java.time.Duration;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;

/** Sleeps before the next attempt; replaceable in tests. */
@FunctionalInterface
public interface Sleeper {

  /** Blocks the calling thread for the given duration. */
  void await(Duration duration);

  /** Blocks with {@link Thread#sleep(long)}. */
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
