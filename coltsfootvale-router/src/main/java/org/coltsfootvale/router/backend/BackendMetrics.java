package org.coltsfootvale.router.backend;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of dropped chunks and answers of backend servers, and of cancellations. */
public final class BackendMetrics {

  private final Counter misdirectedChunks;
  private final Counter duplicateChunks;
  private final Counter misdirectedAnswers;
  private final Counter cancelsSent;
  private final Counter cancelsDropped;

  /** Registers the counters. */
  public BackendMetrics(MeterRegistry registry) {
    misdirectedChunks =
        registry.counter("coltsfootvale.engine.chunks.dropped", "reason", "crossed");
    duplicateChunks = registry.counter("coltsfootvale.engine.chunks.dropped", "reason", "repeated");
    misdirectedAnswers =
        registry.counter("coltsfootvale.engine.answers.dropped", "reason", "crossed");
    cancelsSent = registry.counter("coltsfootvale.engine.cancels", "result", "sent");
    cancelsDropped = registry.counter("coltsfootvale.engine.cancels", "result", "dropped");
  }

  void misdirectedChunkDropped() {
    misdirectedChunks.increment();
  }

  void duplicateChunkDropped() {
    duplicateChunks.increment();
  }

  void misdirectedAnswerDropped() {
    misdirectedAnswers.increment();
  }

  void cancelSent() {
    cancelsSent.increment();
  }

  void cancelDropped() {
    cancelsDropped.increment();
  }
}
