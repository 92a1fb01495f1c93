package org.coltsfootvale.router.backend;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of what arrives from backend servers and is dropped, and of cancellations. */
public final class BackendMetrics {

  private final Counter crossedChunks;
  private final Counter repeatedChunks;
  private final Counter crossedAnswers;
  private final Counter cancelsSent;
  private final Counter cancelsDropped;

  /** Registers the counters. */
  public BackendMetrics(MeterRegistry registry) {
    crossedChunks = registry.counter("coltsfootvale.engine.chunks.dropped", "reason", "crossed");
    repeatedChunks = registry.counter("coltsfootvale.engine.chunks.dropped", "reason", "repeated");
    crossedAnswers = registry.counter("coltsfootvale.engine.answers.dropped", "reason", "crossed");
    cancelsSent = registry.counter("coltsfootvale.engine.cancels", "result", "sent");
    cancelsDropped = registry.counter("coltsfootvale.engine.cancels", "result", "dropped");
  }

  void crossedChunk() {
    crossedChunks.increment();
  }

  void repeatedChunk() {
    repeatedChunks.increment();
  }

  void crossedAnswer() {
    crossedAnswers.increment();
  }

  void cancelSent() {
    cancelsSent.increment();
  }

  void cancelDropped() {
    cancelsDropped.increment();
  }
}
