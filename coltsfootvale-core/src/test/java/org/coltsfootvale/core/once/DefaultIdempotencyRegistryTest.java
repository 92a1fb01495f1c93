package org.coltsfootvale.core.once;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.OrganisationId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Call;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DefaultIdempotencyRegistryTest {

  private static final OrganisationId ORGANISATION = new OrganisationId("reserve");
  private static final RouterIncarnation ROUTER_A = incarnation("a", 1);
  private static final RouterIncarnation ROUTER_B = incarnation("b", 1);
  private static final Duration LIFETIME = Duration.ofMinutes(15);
  private static final StoredAnswer ANSWER = new StoredAnswer(200, Map.of(), new byte[] {1});

  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long monotonicNanos;
  private ScriptedKeyValueStore store = new ScriptedKeyValueStore();
  private final Set<RouterIncarnation> stoppedRouters = new HashSet<>();
  private final DefaultKeyPrefixes prefixes =
      new DefaultKeyPrefixes(List.of(new byte[16]), LIFETIME, () -> now, () -> 42L);

  @BeforeMethod
  public void resetStore() {
    store = new ScriptedKeyValueStore();
    stoppedRouters.clear();
  }

  @Test
  public void keyExecutesOnceAtHomeAndRetriesAttach() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = keyWithHome(ROUTER_A, 1);
    IdempotencyDecision.Execution run = run(home.begin(key, 7));
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    assertFalse(repeat.answer().isDone());
    run.finished(ANSWER);
    assertSame(repeat.answer().join(), ANSWER);
    assertSame(((IdempotencyDecision.Attach) home.begin(key, 7)).answer().join(), ANSWER);
  }

  @Test
  public void otherRouterForwardsToLiveHome() {
    IdempotencyDecision decision = registry(ROUTER_B).begin(keyWithHome(ROUTER_A, 1), 7);
    assertEquals(decision, new IdempotencyDecision.Forward(ROUTER_A));
  }

  @Test
  public void lostHomeYieldsUnknownOutcome() {
    stoppedRouters.add(ROUTER_A);
    assertRefused(
        registry(ROUTER_B), keyWithHome(ROUTER_A, 1), ErrorKind.HOME_LOST, Outcome.UNKNOWN);
  }

  @Test
  public void restartedHomeDoesNotExecuteKeysOfEarlierIncarnation() {
    stoppedRouters.add(ROUTER_A);
    DefaultIdempotencyRegistry restarted = registry(incarnation("a", 2));
    assertRefused(restarted, keyWithHome(ROUTER_A, 1), ErrorKind.HOME_LOST, Outcome.UNKNOWN);
  }

  @Test
  public void keyMayExecuteAgainAfterNotRun() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = keyWithHome(ROUTER_A, 1);
    run(home.begin(key, 7)).notRun();
    run(home.begin(key, 7)).finished(ANSWER);
    assertTrue(home.begin(key, 7) instanceof IdempotencyDecision.Attach);
  }

  @Test
  public void unknownOutcomeIsFinal() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = keyWithHome(ROUTER_A, 1);
    IdempotencyDecision.Execution run = run(home.begin(key, 7));
    run.outcomeUnknown(ColtsfootvaleException.outcomeUnknown(ErrorKind.BACKEND_FAILED, "cut"));
    run.notRun();
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    assertTrue(repeat.answer().isCompletedExceptionally());
    assertEquals(
        expectThrows(ColtsfootvaleException.class, run::beforeSend).outcome(), Outcome.UNKNOWN);
  }

  @Test
  public void expiredKeyIsNotExecutedAfterClockGoesBack() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = keyWithHome(ROUTER_A, 1);
    run(home.begin(key, 7)).finished(ANSWER);
    Instant before = now;
    now = key.expiresAt();
    home.begin(keyWithHome(ROUTER_A, 1), 7);
    assertRefused(home, key, ErrorKind.KEY_EXPIRED, Outcome.UNKNOWN);
    now = before;
    assertRefused(home, key, ErrorKind.KEY_EXPIRED, Outcome.UNKNOWN);
  }

  @Test
  public void expiryEvictsAllKeysExceptExecutingOnes() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    String prefix = prefixes.mint(ROUTER_A);
    int keys = 500;
    IdempotencyDecision.Execution longRun =
        run(home.begin(prefixes.parse(ORGANISATION, prefix + ".0"), 7));
    for (int i = 1; i < keys; i++) {
      run(home.begin(prefixes.parse(ORGANISATION, prefix + "." + i), 7)).finished(ANSWER);
    }
    pause(LIFETIME);
    home.tick();
    assertEquals(home.size(), 1);
    longRun.finished(ANSWER);
    IdempotencyDecision repeat = home.begin(prefixes.parse(ORGANISATION, prefix + ".0"), 7);
    assertTrue(repeat instanceof IdempotencyDecision.Attach);
  }

  @Test
  public void keysOfOnePrefixAreDistributedOverShards() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    String prefix = prefixes.mint(ROUTER_A);
    int keys = IdempotencyLimits.DEFAULT.keysMax() * 8 / 10;
    for (int i = 0; i < keys; i++) {
      run(home.begin(prefixes.parse(ORGANISATION, prefix + "." + i), 7));
    }
    assertEquals(home.size(), keys);
  }

  @Test
  public void reusedKeyIsRefused() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    home.begin(keyWithHome(ROUTER_A, 1), 7);
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> home.begin(keyWithHome(ROUTER_A, 1), 8));
    assertEquals(e.kind(), ErrorKind.KEY_REUSED);
  }

  @Test
  public void keyWithoutHomeExecutesOnlyAtClaimOwner() {
    DefaultIdempotencyRegistry first = registry(ROUTER_A);
    DefaultIdempotencyRegistry second = registry(ROUTER_B);
    IdempotencyDecision.Execution run = run(awaitClaim(first.begin(keyWithoutHome(), 7)));
    run.beforeSend();
    assertEquals(
        awaitClaim(second.begin(keyWithoutHome(), 7)), new IdempotencyDecision.Forward(ROUTER_A));
    stoppedRouters.add(ROUTER_A);
    CompletionException e =
        expectThrows(
            CompletionException.class, () -> awaitClaim(second.begin(keyWithoutHome(), 7)));
    assertEquals(Failures.typed(e).outcome(), Outcome.UNKNOWN);
  }

  @Test
  public void claimWithLostReplyIsReadBack() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    awaitClaim(router.begin(prefixes.parse(ORGANISATION, "warm-up"), 1));
    store.loseReplies(Call.CREATE, 1);
    run(awaitClaim(router.begin(keyWithoutHome(), 7))).beforeSend();
  }

  @Test
  public void uncertainClaimIsRetriedBySameRouter() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    awaitClaim(router.begin(prefixes.parse(ORGANISATION, "warm-up"), 1));
    store.setFault(Fault.HOLD_REPLIES);
    store.loseReplies(Call.CREATE, 1);
    IdempotencyDecision.Claim uncertain =
        (IdempotencyDecision.Claim) router.begin(keyWithoutHome(), 7);
    store.setFault(Fault.OUTAGE);
    store.releaseHeld();
    assertTrue(uncertain.decision().isCompletedExceptionally());
    store.setFault(Fault.NONE);
    run(awaitClaim(router.begin(keyWithoutHome(), 7))).beforeSend();
  }

  @Test
  public void routerPausedBeyondClaimDoesNotSend() {
    DefaultIdempotencyRegistry first = registry(ROUTER_A);
    IdempotencyDecision.Execution paused = run(awaitClaim(first.begin(keyWithoutHome(), 7)));
    pause(Duration.ofHours(1));
    run(awaitClaim(registry(ROUTER_B).begin(keyWithoutHome(), 7))).beforeSend();
    assertEquals(
        expectThrows(ColtsfootvaleException.class, paused::beforeSend).outcome(), Outcome.NOT_RUN);
  }

  @Test
  public void pausedRouterDoesNotClaimWaitingRequest() {
    assertEquals(executionsAfterLongPause(true), 1);
  }

  @Test
  public void undetectedPauseExecutesKeyTwice() {
    assertEquals(executionsAfterLongPause(false), 2);
  }

  private int executionsAfterLongPause(boolean detectsPause) {
    DefaultIdempotencyRegistry other = registry(ROUTER_B);
    DefaultIdempotencyRegistry paused = registry(ROUTER_A);
    if (detectsPause) {
      paused.tick();
    }
    run(awaitClaim(other.begin(keyWithoutHome(), 7))).finished(ANSWER);
    pause(Duration.ofHours(1));
    try {
      run(awaitClaim(paused.begin(keyWithoutHome(), 7))).beforeSend();
      return 2;
    } catch (ColtsfootvaleException e) {
      assertEquals(e.outcome(), Outcome.UNKNOWN);
      return 1;
    }
  }

  @Test
  public void outageRefusesOnlyKeysWithoutHome() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    store.setFault(Fault.OUTAGE);
    CompletionException e =
        expectThrows(
            CompletionException.class, () -> awaitClaim(router.begin(keyWithoutHome(), 7)));
    assertEquals(Failures.typed(e).outcome(), Outcome.NOT_RUN);
    run(router.begin(keyWithHome(ROUTER_A, 1), 7)).beforeSend();
  }

  @Test
  public void claimsCostOneWriteEachAndShareLeases() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    int claims = 600;
    for (int second = 0; second < claims; second++) {
      awaitClaim(router.begin(prefixes.parse(ORGANISATION, "crane-" + second), 7));
      pause(Duration.ofSeconds(1));
    }
    assertEquals(store.calls(Call.CREATE), claims);
    assertEquals(store.calls(Call.GET), 0);
    assertEquals(store.calls(Call.GRANT_LEASE), 6);
  }

  @Test
  public void onlyOutcomeOfTooLargeAnswerIsStored() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = keyWithHome(ROUTER_A, 1);
    int tooLarge = IdempotencyLimits.DEFAULT.answerBytesMax() + 1;
    run(home.begin(key, 7)).finished(new StoredAnswer(200, Map.of(), new byte[tooLarge]));
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    CompletionException e = expectThrows(CompletionException.class, () -> repeat.answer().join());
    assertEquals(Failures.typed(e).kind(), ErrorKind.ANSWER_NOT_KEPT);
  }

  private DefaultIdempotencyRegistry registry(RouterIncarnation self) {
    return new DefaultIdempotencyRegistry(
        self,
        home -> !stoppedRouters.contains(home),
        store,
        () -> now,
        () -> monotonicNanos,
        IdempotencyLimits.DEFAULT);
  }

  private void pause(Duration duration) {
    now = now.plus(duration);
    monotonicNanos += duration.toNanos();
    store.advance(duration);
  }

  private IdempotencyKey keyWithHome(RouterIncarnation home, int counter) {
    return prefixes.parse(ORGANISATION, prefixes.mint(home) + "." + counter);
  }

  private IdempotencyKey keyWithoutHome() {
    return prefixes.parse(ORGANISATION, "crane-2031");
  }

  private static RouterIncarnation incarnation(String id, long number) {
    return new RouterIncarnation(new RouterId(id), number);
  }

  private static IdempotencyDecision awaitClaim(IdempotencyDecision decision) {
    return ((IdempotencyDecision.Claim) decision).decision().join();
  }

  private static IdempotencyDecision.Execution run(IdempotencyDecision decision) {
    return ((IdempotencyDecision.Run) decision).execution();
  }

  private static void assertRefused(
      DefaultIdempotencyRegistry registry, IdempotencyKey key, ErrorKind kind, Outcome outcome) {
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> registry.begin(key, 7));
    assertEquals(e.kind(), kind);
    assertEquals(e.outcome(), outcome);
  }
}
