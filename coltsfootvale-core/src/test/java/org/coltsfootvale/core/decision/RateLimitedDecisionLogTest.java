package org.coltsfootvale.core.decision;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class RateLimitedDecisionLogTest {

  private static final DecisionEvent LIMITED = DecisionEvent.REPLICA_ENTRY_UNUSABLE;

  private final List<Decision> lines = new ArrayList<>();
  private long nowNanos;

  @Test
  public void aLimitedEventIsRecordedOnceInEachIntervalWithTheNumberLeftOut() {
    DecisionLog log =
        new RateLimitedDecisionLog(lines::add, LIMITED, Duration.ofSeconds(1), () -> nowNanos);
    for (int i = 0; i < 5; i++) {
      log.record(Decision.of(LIMITED));
      log.record(Decision.of(DecisionEvent.REPLICA_ADDED));
    }
    nowNanos += Duration.ofSeconds(1).toNanos();
    log.record(Decision.of(LIMITED));
    assertEquals(
        lines.stream().filter(line -> line.event() == DecisionEvent.REPLICA_ADDED).count(), 5);
    assertEquals(
        lines.stream()
            .filter(line -> line.event() == LIMITED)
            .map(line -> line.fields().get("suppressed"))
            .toList(),
        List.of(0L, 4L));
  }
}
