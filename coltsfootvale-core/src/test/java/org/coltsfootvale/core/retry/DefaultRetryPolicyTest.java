package org.coltsfootvale.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test
public class DefaultRetryPolicyTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant DEADLINE = NOW.plus(Duration.ofSeconds(30));

  private static DefaultRetryPolicy policy() {
    return new DefaultRetryPolicy(RetryOptions.DEFAULT, () -> NOW, 7);
  }

  private static AttemptFailure failure(Stage stage) {
    return new AttemptFailure(stage, ErrorKind.BACKEND_FAILED, "connection reset", null);
  }

  @DataProvider
  Object[][] decisions() {
    return new Object[][] {
      {Stage.NOT_SENT, false, false, RetryDecision.Failover.class},
      {Stage.REFUSED, false, false, RetryDecision.Failover.class},
      {Stage.SENT, false, false, RetryDecision.GiveUp.class},
      {Stage.SENT, false, true, RetryDecision.GiveUp.class},
      {Stage.PARTIAL, false, true, RetryDecision.GiveUp.class},
      {Stage.SENT, true, false, RetryDecision.Failover.class},
      {Stage.PARTIAL, true, false, RetryDecision.GiveUp.class},
      {Stage.PARTIAL, true, true, RetryDecision.Resume.class},
    };
  }

  @Test(dataProvider = "decisions")
  public void theDecisionDependsOnStageAndTraits(
      Stage stage, boolean repeatable, boolean resumable, Class<?> expected) {
    RequestTraits traits = new RequestTraits(repeatable, resumable, DEADLINE);
    assertEquals(policy().decide(traits, 1, failure(stage)).getClass(), expected);
  }

  public void aNonRepeatableRequestIsNotRetriedAfterItWasSent() {
    DefaultRetryPolicy policy = policy();
    RequestTraits traits = new RequestTraits(false, true, DEADLINE);
    for (int i = 0; i < 1000; i++) {
      policy.requestStarted();
      for (Stage stage : new Stage[] {Stage.SENT, Stage.PARTIAL}) {
        RetryDecision.GiveUp giveUp =
            (RetryDecision.GiveUp) policy.decide(traits, 1, failure(stage));
        assertEquals(giveUp.error().outcome(), Outcome.UNKNOWN);
      }
    }
  }

  public void aRefusalThatEndsTheRequestHasOutcomeNotRun() {
    RequestTraits traits = new RequestTraits(true, false, DEADLINE);
    RetryDecision.GiveUp giveUp =
        (RetryDecision.GiveUp)
            policy().decide(traits, RetryOptions.DEFAULT.attemptsMax(), failure(Stage.REFUSED));
    assertEquals(giveUp.error().outcome(), Outcome.NOT_RUN);
  }

  public void noRetryIsMadeAfterTheDeadline() {
    RequestTraits traits = new RequestTraits(true, true, NOW);
    assertTrue(policy().decide(traits, 1, failure(Stage.NOT_SENT)) instanceof RetryDecision.GiveUp);
  }

  @DataProvider
  Object[][] stages() {
    return new Object[][] {{Stage.NOT_SENT}, {Stage.REFUSED}, {Stage.SENT}, {Stage.PARTIAL}};
  }

  @Test(dataProvider = "stages")
  public void anOutageOfEveryEngineCausesAtMostOnePointOneAttemptsPerRequest(Stage stage) {
    DefaultRetryPolicy policy = policy();
    RequestTraits traits = new RequestTraits(true, true, DEADLINE);
    int requests = 2000;
    int attempts = 0;
    for (int i = 0; i < requests; i++) {
      policy.requestStarted();
      int requestAttempts = 1;
      while (!(policy.decide(traits, requestAttempts, failure(stage))
          instanceof RetryDecision.GiveUp)) {
        requestAttempts++;
      }
      attempts += requestAttempts;
    }
    assertTrue(attempts <= 1.1 * requests, attempts + " attempts");
  }

  public void refusalsBySingleEnginesDoNotExhaustTheBudget() {
    DefaultRetryPolicy policy = policy();
    RequestTraits traits = new RequestTraits(true, true, DEADLINE);
    for (int i = 0; i < 2000; i++) {
      policy.requestStarted();
      RetryDecision decision = policy.decide(traits, 1, failure(Stage.REFUSED));
      assertTrue(decision instanceof RetryDecision.Failover, "request " + i);
    }
  }
}
