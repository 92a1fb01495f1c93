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

/** Each failure is run with the safeguard and without it; the runs of one key are counted. */
public class IdempotencySafeguardTest {

  private static final RouterId ROUTER = new RouterId("a");
  private static final OrganisationId RESERVE = new OrganisationId("reserve");

  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long monotonicNanos;
  private final ScriptedKeyValueStore store = new ScriptedKeyValueStore();

  @DataProvider
  public Object[][] incarnationsAfterARestart() {
    return new Object[][] {{2L, 1}, {1L, 2}};
  }

  @Test(dataProvider = "incarnationsAfterARestart")
  public void aRestartedHomeRunsAKeyAgainOnlyIfItKeepsItsIncarnation(
      long incarnation, int expectedRuns) {
    RouterIncarnation before = new RouterIncarnation(ROUTER, 1);
    IdempotencyKey key = key(prefixes().mint(before) + ".1");
    int runs = tryToRun(registry(before, () -> monotonicNanos), key);
    RouterIncarnation after = new RouterIncarnation(ROUTER, incarnation);
    runs += tryToRun(registry(after, () -> monotonicNanos), key);
    assertEquals(runs, expectedRuns);
  }

  @DataProvider
  public Object[][] clocksOfAPausedRouter() {
    LongSupplier running = () -> monotonicNanos;
    LongSupplier stopped = () -> 0;
    return new Object[][] {{running, 1}, {stopped, 2}};
  }

  @Test(dataProvider = "clocksOfAPausedRouter")
  public void aPausedHolderOfAClaimSendsOnlyIfItsClockMissesThePause(
      LongSupplier clock, int expectedRuns) {
    IdempotencyKey key = key("crane-" + expectedRuns);
    DefaultIdempotencyRegistry paused = registry(new RouterIncarnation(ROUTER, 1), clock);
    IdempotencyDecision.Execution run = execution(paused.begin(key, 7));
    now = now.plus(Duration.ofHours(1));
    monotonicNanos += Duration.ofHours(1).toNanos();
    store.advance(Duration.ofHours(1));
    RouterIncarnation other = new RouterIncarnation(new RouterId("b"), 1);
    int runs = tryToRun(registry(other, () -> monotonicNanos), key);
    assertEquals(runs + send(run), expectedRuns);
  }

  private int tryToRun(DefaultIdempotencyRegistry registry, IdempotencyKey key) {
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
    IdempotencyDecision settled =
        decision instanceof IdempotencyDecision.Claim claim ? claim.decision().join() : decision;
    return ((IdempotencyDecision.Run) settled).execution();
  }

  private DefaultIdempotencyRegistry registry(RouterIncarnation self, LongSupplier clock) {
    return new DefaultIdempotencyRegistry(
        self, home -> false, store, () -> now, clock, IdempotencyLimits.DEFAULT);
  }

  private IdempotencyKey key(String text) {
    return prefixes().parse(RESERVE, text);
  }

  private DefaultKeyPrefixes prefixes() {
    return new DefaultKeyPrefixes(
        List.of(new byte[16]), Duration.ofMinutes(15), () -> now, () -> 42L);
  }
}
