package org.coltsfootvale.core.support;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.Test;

public class BackoffTest {

  private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(700));

  @Test
  public void delaysDoubleUpToMaximum() {
    assertEquals(backoff.after(0), Duration.ofMillis(100));
    assertEquals(backoff.after(2), Duration.ofMillis(400));
    assertEquals(backoff.after(3), Duration.ofMillis(700));
  }

  @Test
  public void manyFailuresDoNotOverflow() {
    assertEquals(backoff.after(Integer.MAX_VALUE), Duration.ofMillis(700));
  }
}
