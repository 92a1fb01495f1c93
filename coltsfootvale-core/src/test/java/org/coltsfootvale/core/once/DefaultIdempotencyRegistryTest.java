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

  private static final OrganisationId RESERVE = new OrganisationId("reserve");
  private static final RouterIncarnation ROUTER_A = incarnation("a", 1);
  private static final RouterIncarnation ROUTER_B = incarnation("b", 1);
  private static final Duration LIFETIME = Duration.ofMinutes(15);
  private static final StoredAnswer ANSWER = new StoredAnswer(200, Map.of(), new byte[] {1});

  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long monotonicNanos;
  private ScriptedKeyValueStore store = new ScriptedKeyValueStore();
  private final Set<RouterIncarnation> gone = new HashSet<>();
  private final DefaultKeyPrefixes prefixes =
      new DefaultKeyPrefixes(List.of(new byte[16]), LIFETIME, () -> now, () -> 42L);

  @BeforeMethod
  public void startAnew() {
    store = new ScriptedKeyValueStore();
    gone.clear();
  }

  @Test
  public void aKeyRunsOnceAtItsHomeAndRepeatsAttach() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = homedKey(ROUTER_A, 1);
    IdempotencyDecision.Execution run = run(home.begin(key, 7));
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    assertFalse(repeat.answer().isDone());
    run.finished(ANSWER);
    assertSame(repeat.answer().join(), ANSWER);
    assertSame(((IdempotencyDecision.Attach) home.begin(key, 7)).answer().join(), ANSWER);
  }

  @Test
  public void anotherRouterForwardsToALiveHome() {
    IdempotencyDecision decision = registry(ROUTER_B).begin(homedKey(ROUTER_A, 1), 7);
    assertEquals(decision, new IdempotencyDecision.Forward(ROUTER_A));
  }

  @Test
  public void aLostHomeMakesTheOutcomeUnknown() {
    gone.add(ROUTER_A);
    assertRefused(registry(ROUTER_B), homedKey(ROUTER_A, 1), ErrorKind.HOME_LOST, Outcome.UNKNOWN);
  }

  @Test
  public void aRestartedHomeDoesNotRunTheKeysOfItsEarlierRun() {
    gone.add(ROUTER_A);
    DefaultIdempotencyRegistry restarted = registry(incarnation("a", 2));
    assertRefused(restarted, homedKey(ROUTER_A, 1), ErrorKind.HOME_LOST, Outcome.UNKNOWN);
  }

  @Test
  public void aKeyThatDidNotRunMayRunAgain() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = homedKey(ROUTER_A, 1);
    run(home.begin(key, 7)).notRun();
    run(home.begin(key, 7)).finished(ANSWER);
    assertTrue(home.begin(key, 7) instanceof IdempotencyDecision.Attach);
  }

  @Test
  public void anUnknownOutcomeStaysUnknown() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = homedKey(ROUTER_A, 1);
    IdempotencyDecision.Execution run = run(home.begin(key, 7));
    run.outcomeUnknown(ColtsfootvaleException.outcomeUnknown(ErrorKind.BACKEND_FAILED, "cut"));
    run.notRun();
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    assertTrue(repeat.answer().isCompletedExceptionally());
    assertEquals(
        expectThrows(ColtsfootvaleException.class, run::beforeSend).outcome(), Outcome.UNKNOWN);
  }

  @Test
  public void anExpiredKeyIsNeverRunEvenIfTheClockGoesBack() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = homedKey(ROUTER_A, 1);
    run(home.begin(key, 7)).finished(ANSWER);
    Instant before = now;
    now = key.expiresAt();
    home.begin(homedKey(ROUTER_A, 1), 7);
    assertRefused(home, key, ErrorKind.KEY_EXPIRED, Outcome.UNKNOWN);
    now = before;
    assertRefused(home, key, ErrorKind.KEY_EXPIRED, Outcome.UNKNOWN);
  }

  @Test
  public void aLongRunKeepsItsKeyButNoOtherInMemory() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    String prefix = prefixes.mint(ROUTER_A);
    int keys = 500;
    IdempotencyDecision.Execution longRun =
        run(home.begin(prefixes.parse(RESERVE, prefix + ".0"), 7));
    for (int i = 1; i < keys; i++) {
      run(home.begin(prefixes.parse(RESERVE, prefix + "." + i), 7)).finished(ANSWER);
    }
    pause(LIFETIME);
    home.tick();
    assertEquals(home.size(), 1);
    longRun.finished(ANSWER);
    IdempotencyDecision repeat = home.begin(prefixes.parse(RESERVE, prefix + ".0"), 7);
    assertTrue(repeat instanceof IdempotencyDecision.Attach);
  }

  @Test
  public void countersOfOnePrefixFillTheMemoryEvenly() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    String prefix = prefixes.mint(ROUTER_A);
    int keys = IdempotencyLimits.DEFAULT.keysMax() * 8 / 10;
    for (int i = 0; i < keys; i++) {
      run(home.begin(prefixes.parse(RESERVE, prefix + "." + i), 7));
    }
    assertEquals(home.size(), keys);
  }

  @Test
  public void aReusedKeyIsRefused() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    home.begin(homedKey(ROUTER_A, 1), 7);
    ColtsfootvaleException e =
        expectThrows(ColtsfootvaleException.class, () -> home.begin(homedKey(ROUTER_A, 1), 8));
    assertEquals(e.kind(), ErrorKind.KEY_REUSED);
  }

  @Test
  public void aKeyWithoutHomeRunsOnlyWhereItIsClaimed() {
    DefaultIdempotencyRegistry first = registry(ROUTER_A);
    DefaultIdempotencyRegistry second = registry(ROUTER_B);
    IdempotencyDecision.Execution run = run(claimed(first.begin(plainKey(), 7)));
    run.beforeSend();
    assertEquals(claimed(second.begin(plainKey(), 7)), new IdempotencyDecision.Forward(ROUTER_A));
    gone.add(ROUTER_A);
    CompletionException e =
        expectThrows(CompletionException.class, () -> claimed(second.begin(plainKey(), 7)));
    assertEquals(Failures.typed(e).outcome(), Outcome.UNKNOWN);
  }

  @Test
  public void aLostReplyToAClaimIsSettledByReadingBack() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    claimed(router.begin(prefixes.parse(RESERVE, "warm-up"), 1));
    store.loseReplies(Call.CREATE, 1);
    run(claimed(router.begin(plainKey(), 7))).beforeSend();
  }

  @Test
  public void anUncertainClaimIsTakenUpAgainByTheSameRouter() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    claimed(router.begin(prefixes.parse(RESERVE, "warm-up"), 1));
    store.setFault(Fault.HOLD_REPLIES);
    store.loseReplies(Call.CREATE, 1);
    IdempotencyDecision.Claim uncertain = (IdempotencyDecision.Claim) router.begin(plainKey(), 7);
    store.setFault(Fault.OUTAGE);
    store.releaseHeld();
    assertTrue(uncertain.decision().isCompletedExceptionally());
    store.setFault(Fault.NONE);
    run(claimed(router.begin(plainKey(), 7))).beforeSend();
  }

  @Test
  public void aRouterPausedBeyondItsClaimDoesNotSend() {
    DefaultIdempotencyRegistry first = registry(ROUTER_A);
    IdempotencyDecision.Execution paused = run(claimed(first.begin(plainKey(), 7)));
    pause(Duration.ofHours(1));
    run(claimed(registry(ROUTER_B).begin(plainKey(), 7))).beforeSend();
    assertEquals(
        expectThrows(ColtsfootvaleException.class, paused::beforeSend).outcome(), Outcome.NOT_RUN);
  }

  @Test
  public void aRouterThatWasPausedLongerThanAClaimDoesNotClaimARequestThatWaited() {
    assertEquals(runsAfterALongPause(true), 1);
  }

  @Test
  public void withoutNoticingItsPauseTheRouterWouldRunTheKeyAgain() {
    assertEquals(runsAfterALongPause(false), 2);
  }

  private int runsAfterALongPause(boolean noticesPause) {
    DefaultIdempotencyRegistry other = registry(ROUTER_B);
    DefaultIdempotencyRegistry paused = registry(ROUTER_A);
    if (noticesPause) {
      paused.tick();
    }
    run(claimed(other.begin(plainKey(), 7))).finished(ANSWER);
    pause(Duration.ofHours(1));
    try {
      run(claimed(paused.begin(plainKey(), 7))).beforeSend();
      return 2;
    } catch (ColtsfootvaleException e) {
      assertEquals(e.outcome(), Outcome.UNKNOWN);
      return 1;
    }
  }

  @Test
  public void anOutageRefusesAKeyWithoutHomeAndNoOther() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    store.setFault(Fault.OUTAGE);
    CompletionException e =
        expectThrows(CompletionException.class, () -> claimed(router.begin(plainKey(), 7)));
    assertEquals(Failures.typed(e).outcome(), Outcome.NOT_RUN);
    run(router.begin(homedKey(ROUTER_A, 1), 7)).beforeSend();
  }

  @Test
  public void aClaimCostsOneWriteAndALeaseServesManyClaims() {
    DefaultIdempotencyRegistry router = registry(ROUTER_A);
    int claims = 600;
    for (int second = 0; second < claims; second++) {
      claimed(router.begin(prefixes.parse(RESERVE, "crane-" + second), 7));
      pause(Duration.ofSeconds(1));
    }
    assertEquals(store.calls(Call.CREATE), claims);
    assertEquals(store.calls(Call.GET), 0);
    assertEquals(store.calls(Call.GRANT_LEASE), 6);
  }

  @Test
  public void anAnswerTooLargeToKeepLeavesItsOutcome() {
    DefaultIdempotencyRegistry home = registry(ROUTER_A);
    IdempotencyKey key = homedKey(ROUTER_A, 1);
    int tooLarge = IdempotencyLimits.DEFAULT.answerBytesMax() + 1;
    run(home.begin(key, 7)).finished(new StoredAnswer(200, Map.of(), new byte[tooLarge]));
    IdempotencyDecision.Attach repeat = (IdempotencyDecision.Attach) home.begin(key, 7);
    CompletionException e = expectThrows(CompletionException.class, () -> repeat.answer().join());
    assertEquals(Failures.typed(e).kind(), ErrorKind.ANSWER_NOT_KEPT);
  }

  private DefaultIdempotencyRegistry registry(RouterIncarnation self) {
    return new DefaultIdempotencyRegistry(
        self,
        home -> !gone.contains(home),
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

  private IdempotencyKey homedKey(RouterIncarnation home, int counter) {
    return prefixes.parse(RESERVE, prefixes.mint(home) + "." + counter);
  }

  private IdempotencyKey plainKey() {
    return prefixes.parse(RESERVE, "crane-2031");
  }

  private static RouterIncarnation incarnation(String id, long number) {
    return new RouterIncarnation(new RouterId(id), number);
  }

  private static IdempotencyDecision claimed(IdempotencyDecision decision) {
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
