package org.coltsfootvale.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that tests advance manually. */
public final class ManualClock implements InstantSource {

  private Instant now = Instant.ofEpochSecond(1_000_000);

  @Override
  public Instant instant() {
    return now;
  }

  public void advance(Duration duration) {
    now = now.plus(duration);
  }
}
