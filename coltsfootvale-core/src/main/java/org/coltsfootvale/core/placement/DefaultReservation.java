package org.coltsfootvale.core.placement;

import java.time.InstantSource;
import org.coltsfootvale.core.model.EngineId;
import org.jspecify.annotations.Nullable;

/** A reservation that updates the load tracker of its engine. */
final class DefaultReservation implements Reservation {

  private final EngineId engine;
  private final long engineIncarnation;
  private final int cachedTokensExpected;
  private final @Nullable EngineId importFrom;
  private final int outstandingRequestsMax;
  private final EngineLoadTracker tracker;
  private final InstantSource clock;
  private long promptTokensQueued;
  private boolean released;

  DefaultReservation(
      EngineId engine,
      long engineIncarnation,
      int cachedTokensExpected,
      @Nullable EngineId importFrom,
      int outstandingRequestsMax,
      long promptTokensQueued,
      EngineLoadTracker tracker,
      InstantSource clock) {
    this.engine = engine;
    this.engineIncarnation = engineIncarnation;
    this.cachedTokensExpected = cachedTokensExpected;
    this.importFrom = importFrom;
    this.outstandingRequestsMax = outstandingRequestsMax;
    this.promptTokensQueued = promptTokensQueued;
    this.tracker = tracker;
    this.clock = clock;
  }

  @Override
  public EngineId engine() {
    return engine;
  }

  @Override
  public long engineIncarnation() {
    return engineIncarnation;
  }

  @Override
  public int cachedTokensExpected() {
    return cachedTokensExpected;
  }

  @Override
  public @Nullable EngineId importFrom() {
    return importFrom;
  }

  @Override
  public int outstandingRequestsMax() {
    return outstandingRequestsMax;
  }

  @Override
  public synchronized void onPrefilled() {
    if (released || promptTokensQueued == 0) {
      return;
    }
    tracker.prefilled(clock.millis(), promptTokensQueued);
    promptTokensQueued = 0;
  }

  @Override
  public void onGenerated(int tokens) {
    // The tracked load consists of requests and queued prompt tokens only.
  }

  @Override
  public synchronized void release() {
    if (released) {
      return;
    }
    released = true;
    tracker.remove(clock.millis(), promptTokensQueued);
  }
}
