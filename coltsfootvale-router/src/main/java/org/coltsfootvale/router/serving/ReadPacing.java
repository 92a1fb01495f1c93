package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootvale.router.http.ServingLoop;

/**
 * Reads connections with costly data in turn, one per iteration of the serving loop: a read of 64
 * KiB holds some 10,000 chunks of one byte, and 64 such connections would occupy the loop for long
 * enough to miss the deadlines of other requests.
 */
final class ReadPacing {

  private final ServingLoop loop;
  private final Deque<PacedReader> waiting = new ArrayDeque<>();

  ReadPacing(ServingLoop loop) {
    this.loop = loop;
  }

  /** Resumes reading from a connection when it is its turn. */
  void add(PacedReader reader) {
    waiting.addLast(reader);
    if (waiting.size() == 1) {
      loop.schedule(Duration.ZERO, this::resumeNext);
    }
  }

  private void resumeNext() {
    PacedReader next = waiting.pollFirst();
    if (!waiting.isEmpty()) {
      loop.schedule(Duration.ZERO, this::resumeNext);
    }
    if (next != null) {
      next.resume();
    }
  }
}
