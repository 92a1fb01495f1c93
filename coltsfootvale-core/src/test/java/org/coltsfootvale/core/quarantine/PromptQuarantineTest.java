package org.coltsfootvale.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootvale.core.model.HostPort;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class PromptQuarantineTest {

  private static final String ROOT = "root";
  private static final String SUBJECT = "subject";
  private static final String FATAL = "fatal";

  private AtomicLong now = new AtomicLong();
  private RecordingQuarantineListener listener = new RecordingQuarantineListener();
  private PromptQuarantine quarantine = quarantine();
  private int replicas;

  @BeforeMethod
  void reset() {
    now = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    listener = new RecordingQuarantineListener();
    quarantine = quarantine();
    replicas = 0;
  }

  private PromptQuarantine quarantine() {
    return new PromptQuarantine(() -> now.get(), () -> 0.5, part -> true, listener);
  }

  @Test
  public void aPartWithoutAnAnswerIsQuarantinedAtTheSecondCrash() {
    crash(FATAL);
    assertAllowed(FATAL);
    crash(FATAL);
    assertRefused(FATAL);
    assertAllowed(ROOT, SUBJECT);
  }

  @Test
  public void aPartWithAnEarlierAnswerIsQuarantinedAtTheThirdCrash() {
    quarantine.onAnswer(List.of(FATAL));
    advance(1_000);
    crash(FATAL);
    crash(FATAL);
    assertAllowed(FATAL);
    crash(FATAL);
    assertRefused(FATAL);
    assertEquals(listener.confirmed, List.of(FATAL));
  }

  @Test
  public void aPartThatIsAnsweredBetweenCrashesIsNeverQuarantined() {
    for (int i = 0; i < 20; i++) {
      crash(ROOT, FATAL);
      quarantine.onAnswer(List.of(ROOT));
    }
    assertAllowed(ROOT);
    assertRefused(ROOT, FATAL);
  }

  @Test
  public void replicasThatCrashTogetherQuarantineNoPart() {
    for (int i = 0; i < 50; i++) {
      crashAfter(1, ROOT, "subject" + i);
    }
    assertAllowed(ROOT);
    assertEquals(listener.quarantined, List.of());
  }

  @Test
  public void oneReplicaThatCrashesAgainAndAgainQuarantinesNoPartAtFirst() {
    for (int i = 0; i < CrashAttribution.INCIDENTS_AT_ONE_ADDRESS - 1; i++) {
      replicas = 0;
      advance(3_000);
      quarantine.onCrash(crashOf(i, SUBJECT));
    }
    assertAllowed(SUBJECT);
  }

  @Test
  public void crashesThatAnotherPartExplainsDoNotCountAgainstARarePart() {
    crash(FATAL);
    crash(FATAL, SUBJECT);
    crash(FATAL);
    crash(FATAL, SUBJECT);
    assertRefused(FATAL);
    assertAllowed(SUBJECT);
  }

  @Test
  public void aPartThatWasAnsweredIsNotBlamedForOneThatNeverWas() {
    quarantine.onAnswer(List.of(SUBJECT));
    for (int i = 0; i < 6; i++) {
      crash(SUBJECT, FATAL);
    }
    crash(SUBJECT);
    assertRefused(SUBJECT, FATAL);
    assertAllowed(SUBJECT);
  }

  @Test
  public void oneUnrelatedCrashDoesNotHideThePartThatExplainsTheOthers() {
    crash(SUBJECT, FATAL);
    crash(SUBJECT, FATAL);
    crash(SUBJECT);
    assertRefused(SUBJECT, FATAL);
    assertRefused(FATAL, "other-subject", SUBJECT);
    advance(5_000);
    assertAllowed(SUBJECT);
    quarantine.onAnswer(List.of(SUBJECT));
    assertRefused(FATAL, "other-subject");
  }

  @Test
  public void aPartWithMoreCrashesThanTheOthersIsNotTriedToTellThemApart() {
    crash(SUBJECT, FATAL);
    crash(SUBJECT, FATAL);
    assertAllowed("other-subject", FATAL);
    crash("other-subject", FATAL);
    assertRefused("third-subject", FATAL);
    assertAllowed(SUBJECT);
  }

  @Test
  public void partsThatCrashedAsManyReplicasAsToleratedAreToldApartRarely() {
    for (int i = 0; i < TrialSchedule.CRASHES_TOLERATED; i++) {
      crash(SUBJECT, FATAL);
    }
    assertRefused("other-subject", FATAL);
    advance(5_000);
    assertAllowed("other-subject", FATAL);
  }

  @Test
  public void twoPartsThatCrashReplicasAreBothQuarantined() {
    crash(ROOT, FATAL);
    crash("fatal-too");
    crash("fatal-too");
    quarantine.onAnswer(List.of(ROOT));
    crash(ROOT, FATAL);
    assertRefused(FATAL);
    assertRefused("fatal-too");
    assertAllowed(ROOT);
  }

  @Test
  public void aRequestWithOneOfTwoSuspectedPartsClearsItIfAnswered() {
    crash(SUBJECT, FATAL);
    crash(SUBJECT, FATAL);
    assertRefused(SUBJECT, FATAL);
    assertAllowed(ROOT, SUBJECT);
    quarantine.onSent(List.of(ROOT, SUBJECT));
    assertRefused(ROOT, SUBJECT);
    quarantine.onAnswer(List.of(ROOT, SUBJECT));
    assertAllowed(ROOT, SUBJECT);
    assertRefused(SUBJECT, FATAL);
    assertEquals(listener.released, List.of(SUBJECT + " ANSWERED"));
  }

  @Test
  public void anAnswerAtAnyRouterReleasesAPart() {
    crash(ROOT);
    crash(ROOT);
    assertRefused(ROOT);
    quarantine.onAnswer(new PartAnswer(ROOT, now.get()));
    assertAllowed(ROOT);
  }

  @Test
  public void reportsOfSeveralRoutersAboutOneCrashCountOnce() {
    ReplicaCrash first = crashOf(1, FATAL, SUBJECT);
    quarantine.onCrash(first);
    advance(400);
    quarantine.onCrash(new ReplicaCrash(first.replica(), first.address(), Set.of(ROOT), now.get()));
    assertEquals(quarantine.allCrashes().size(), 1);
    assertEquals(quarantine.allCrashes().get(0).parts(), Set.of(FATAL, SUBJECT, ROOT));
    assertAllowed(FATAL);
  }

  @Test
  public void trialsAreSingleAndEndWithinTheAllowedNumberOfCrashes() {
    crash(FATAL);
    crash(FATAL);
    int trials = 0;
    for (int second = 0; second < TimeUnit.DAYS.toSeconds(1); second++) {
      advance(1_000);
      if (quarantine.refusal(List.of(FATAL)).isEmpty()) {
        trials++;
        quarantine.onSent(List.of(FATAL));
        assertRefused(FATAL);
        crash(FATAL);
      }
      quarantine.expire();
    }
    // Five crashes are allowed, and three requests after them; one is kept for a router that errs.
    assertTrue(trials >= 1 && 2 + trials <= 5 + 3 - 1, trials + " trials");
  }

  @Test
  public void aTrialThatIsAnsweredReleasesThePart() {
    crash(FATAL);
    crash(FATAL);
    advance(TrialSchedule.delay(quarantine.quarantinedParts().iterator().next()).toMillis());
    assertAllowed(FATAL);
    quarantine.onSent(List.of(FATAL));
    quarantine.onAnswer(List.of(FATAL));
    assertAllowed(FATAL);
    assertEquals(listener.released, List.of(FATAL + " ANSWERED"));
  }

  @Test
  public void callersAreToldToReturnAtSpreadTimes() {
    crash(FATAL);
    crash(FATAL);
    Duration delay = quarantine.refusal(List.of(FATAL)).orElseThrow();
    Duration untilTrial = TrialSchedule.delay(quarantine.quarantinedParts().iterator().next());
    assertEquals(delay, untilTrial.multipliedBy(3).dividedBy(2));
  }

  @Test
  public void aQuarantineWithoutRequestsExpires() {
    crash(FATAL);
    crash(FATAL);
    advance(Duration.ofMinutes(31).toMillis());
    quarantine.expire();
    assertFalse(quarantine.quarantined(FATAL));
    assertEquals(listener.released, List.of(FATAL + " EXPIRED"));
    assertTrue(quarantine.allCrashes().isEmpty());
  }

  @Test
  public void evidenceIsBoundedUnderPartsThatNeverComeTwice() {
    for (int i = 0; i < 2_000; i++) {
      crash("crashed" + i);
      for (int j = 0; j < 20; j++) {
        quarantine.onAnswer(List.of("answered" + i + "-" + j));
      }
    }
    assertEquals(quarantine.allCrashes().size(), 256);
    assertTrue(quarantine.allAnswers().size() <= 256);
    assertEquals(listener.quarantined, List.of());
  }

  @Test
  public void manyLaterCrashesDoNotEndAQuarantine() {
    crash(FATAL);
    crash(FATAL);
    for (int i = 0; i < 2_000; i++) {
      crash("crashed" + i);
    }
    assertTrue(quarantine.quarantined(FATAL));
  }

  @Test
  public void evidenceIsPublishedForAWhile() {
    quarantine.onAnswer(List.of(ROOT));
    crash(ROOT, FATAL);
    assertEquals(quarantine.recentCrashes().size(), 1);
    assertEquals(quarantine.recentAnswers().size(), 1);
    advance(2_000);
    assertEquals(quarantine.recentCrashes(), List.of());
    quarantine.onAnswer(List.of(ROOT));
    assertEquals(quarantine.recentAnswers().size(), 1);
    advance(2_000);
    quarantine.onAnswer(List.of(ROOT));
    assertEquals(quarantine.recentAnswers(), List.of());
  }

  @Test
  public void evidenceIsPublishedAgainForARouterThatWasOutOfContact() {
    quarantine.onAnswer(List.of(ROOT));
    crash(ROOT, FATAL);
    advance(60_000);
    assertEquals(quarantine.recentCrashes(), List.of());
    quarantine.republish();
    assertEquals(quarantine.recentCrashes(), quarantine.allCrashes());
    assertEquals(quarantine.recentAnswers(), quarantine.allAnswers());
  }

  private void assertAllowed(String... parts) {
    assertTrue(quarantine.refusal(List.of(parts)).isEmpty());
  }

  private void assertRefused(String... parts) {
    assertTrue(quarantine.refusal(List.of(parts)).isPresent());
  }

  private void crash(String... parts) {
    crashAfter(500, parts);
  }

  private void crashAfter(long millis, String... parts) {
    advance(millis);
    quarantine.onCrash(crashOf(replicas++, parts));
  }

  private ReplicaCrash crashOf(int index, String... parts) {
    return new ReplicaCrash(
        new ReplicaCrash.Incarnation("r" + index, 1),
        new HostPort("10.0.0.1", 1 + (replicas == 0 ? 0 : index)),
        Set.of(parts),
        now.get());
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
