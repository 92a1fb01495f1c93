package org.coltsfootvale.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that tests advance explicitly. */
public final class ManualClock implements InstantSource {

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Override
  public Instant instant() {
    return now;
  }

  /** Moves the clock forward. */
  public void advance(Duration duration) {
    now = now.plus(duration);
  }
}
