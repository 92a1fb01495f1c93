package org.coltsfootvale.router.serving;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.router.http.ServingLoop;
import org.jspecify.annotations.Nullable;

/** Reports once that a replica has sent nothing for a while. Confined to the serving loop. */
final class SilenceWatch {

  private final ServingLoop loop;
  private final LongSupplier nanoTime;
  private long timeoutNanos;
  private long lastReceivedNanos;
  private @Nullable Future<?> check;

  SilenceWatch(ServingLoop loop, LongSupplier nanoTime) {
    this.loop = loop;
    this.nanoTime = nanoTime;
  }

  /** Records that data has arrived. */
  void onReceived() {
    lastReceivedNanos = nanoTime.getAsLong();
  }

  /** Starts to watch for a silence of the given length. */
  void start(Duration timeout, Runnable onSilent) {
    timeoutNanos = timeout.toNanos();
    schedule(onSilent);
  }

  private void schedule(Runnable onSilent) {
    long leftNanos = lastReceivedNanos + timeoutNanos - nanoTime.getAsLong();
    check =
        loop.eventLoop()
            .schedule(() -> check(onSilent), Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
  }

  private void check(Runnable onSilent) {
    if (nanoTime.getAsLong() - lastReceivedNanos >= timeoutNanos) {
      onSilent.run();
    } else {
      schedule(onSilent);
    }
  }

  /** Stops watching. */
  void stop() {
    if (check != null) {
      check.cancel(false);
    }
  }
}
