package org.coltsfootvale.testkit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that is advanced manually. */
public final class ManualClock implements InstantSource {

  private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Override
  public Instant instant() {
    return now;
  }

  public synchronized void advance(Duration time) {
    now = now.plus(time);
  }
}
