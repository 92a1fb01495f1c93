package org.coltsfootvale.core.once;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs each failure with and without its safeguard and counts the executions of one key. */
public class IdempotencySafeguardTest {

  private static final RouterId ROUTER = new RouterId("a");
  private static final OrganisationId ORGANISATION = new OrganisationId("reserve");

  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long monotonicNanos;
  private final ScriptedKeyValueStore store = new ScriptedKeyValueStore();

  @DataProvider
  public Object[][] incarnationsAfterARestart() {
    return new Object[][] {{2L, 1}, {1L, 2}};
  }

  @Test(dataProvider = "incarnationsAfterARestart")
  public void restartedHomeExecutesKeyAgainOnlyUnderSameIncarnation(
      long incarnation, int expectedRuns) {
    RouterIncarnation before = new RouterIncarnation(ROUTER, 1);
    IdempotencyKey key = key(prefixes().mint(before) + ".1");
    int runs = tryToExecute(registry(before, () -> monotonicNanos), key);
    RouterIncarnation after = new RouterIncarnation(ROUTER, incarnation);
    runs += tryToExecute(registry(after, () -> monotonicNanos), key);
    assertEquals(runs, expectedRuns);
  }

  @DataProvider
  public Object[][] clocksOfAPausedRouter() {
    LongSupplier running = () -> monotonicNanos;
    LongSupplier stopped = () -> 0;
    return new Object[][] {{running, 1}, {stopped, 2}};
  }

  @Test(dataProvider = "clocksOfAPausedRouter")
  public void pausedClaimOwnerSendsOnlyIfItsClockStopped(LongSupplier clock, int expectedRuns) {
    IdempotencyKey key = key("crane-" + expectedRuns);
    DefaultIdempotencyRegistry paused = registry(new RouterIncarnation(ROUTER, 1), clock);
    IdempotencyDecision.Execution run = execution(paused.begin(key, 7));
    now = now.plus(Duration.ofHours(1));
    monotonicNanos += Duration.ofHours(1).toNanos();
    store.advance(Duration.ofHours(1));
    RouterIncarnation other = new RouterIncarnation(new RouterId("b"), 1);
    int runs = tryToExecute(registry(other, () -> monotonicNanos), key);
    assertEquals(runs + send(run), expectedRuns);
  }

  private int tryToExecute(DefaultIdempotencyRegistry registry, IdempotencyKey key) {
    try {
      return send(execution(registry.begin(key, 7)));
    } catch (ColtsfootvaleException | CompletionException e) {
      return 0;
    }
  }

  private static int send(IdempotencyDecision.Execution execution) {
    try {
      execution.beforeSend();
      return 1;
    } catch (ColtsfootvaleException e) {
      return 0;
    }
  }

  private static IdempotencyDecision.Execution execution(IdempotencyDecision decision) {
    IdempotencyDecision resolved =
        decision instanceof IdempotencyDecision.Claim claim ? claim.decision().join() : decision;
    return ((IdempotencyDecision.Run) resolved).execution();
  }

  private DefaultIdempotencyRegistry registry(RouterIncarnation self, LongSupplier clock) {
    return new DefaultIdempotencyRegistry(
        self, home -> false, store, () -> now, clock, IdempotencyLimits.DEFAULT);
  }

  private IdempotencyKey key(String text) {
    return prefixes().parse(ORGANISATION, text);
  }

  private DefaultKeyPrefixes prefixes() {
    return new DefaultKeyPrefixes(
        List.of(new byte[16]), Duration.ofMinutes(15), () -> now, () -> 42L);
  }
}
