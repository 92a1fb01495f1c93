package org.coltsfootvale.core.course;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.coltsfootvale.core.routing.Repeatability;
import org.coltsfootvale.core.routing.Route;
import org.coltsfootvale.core.routing.ServiceShare;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestLifecycleTest {

  private static final RepeatBudget AVAILABLE = budget(true);
  private static final RepeatBudget EXHAUSTED = budget(false);

  @DataProvider
  Object[][] kinds() {
    return new Object[][] {
      // kind, resumable, after a rejection, after a failure answer, after a lost answer
      {
        Repeatability.IDEMPOTENT,
        false,
        NextStep.SEND_AGAIN,
        NextStep.SEND_AGAIN,
        NextStep.SEND_AGAIN
      },
      {Repeatability.AT_MOST_ONCE, false, NextStep.SEND_AGAIN, NextStep.DELIVER, NextStep.FAIL},
      {Repeatability.STREAMING, false, NextStep.SEND_AGAIN, NextStep.DELIVER, NextStep.FAIL},
      {
        Repeatability.STREAMING, true, NextStep.SEND_AGAIN, NextStep.SEND_AGAIN, NextStep.SEND_AGAIN
      },
    };
  }

  @Test(dataProvider = "kinds")
  public void theNextStepDependsOnTheRepeatability(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sentRequest(kind, resumable, 2, AVAILABLE).onRejected(), rejected);
    assertEquals(sentRequest(kind, resumable, 2, AVAILABLE).onFailureAnswer(), failed);
    assertEquals(sentRequest(kind, resumable, 2, AVAILABLE).onAnswerLost(), lost);
  }

  @Test(dataProvider = "kinds")
  public void theRouteLimitsTheNumberOfAttempts(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sentRequest(kind, resumable, 1, AVAILABLE).onRejected(), NextStep.REFUSE);
    assertEquals(sentRequest(kind, resumable, 1, AVAILABLE).onFailureAnswer(), NextStep.DELIVER);
    assertEquals(sentRequest(kind, resumable, 1, AVAILABLE).onAnswerLost(), NextStep.FAIL);
  }

  @Test(dataProvider = "kinds")
  public void noRequestIsRetriedOnceTheBudgetIsExhausted(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sentRequest(kind, resumable, 2, EXHAUSTED).onRejected(), NextStep.REFUSE);
    assertEquals(sentRequest(kind, resumable, 2, EXHAUSTED).onFailureAnswer(), NextStep.DELIVER);
    assertEquals(sentRequest(kind, resumable, 2, EXHAUSTED).onAnswerLost(), NextStep.FAIL);
  }

  @Test
  public void aConnectionFailureIsRetriedWithoutSpendingTheBudget() {
    RequestLifecycle request = arrivedRequest(Repeatability.AT_MOST_ONCE, false, 1, EXHAUSTED);
    assertEquals(request.onConnectionFailure(), NextStep.SEND_AGAIN);
    assertFalse(request.mayHaveRun());
  }

  @Test
  public void aRequestMayHaveRunFromItsFirstByteUntilItsRejection() {
    RequestLifecycle request = arrivedRequest(Repeatability.AT_MOST_ONCE, false, 2, AVAILABLE);
    request.onSent();
    assertTrue(request.mayHaveRun());
    assertEquals(request.onDeadlineExceeded(), NextStep.FAIL);
    request.onRejected();
    assertFalse(request.mayHaveRun());
    assertEquals(request.onDeadlineExceeded(), NextStep.REFUSE);
  }

  /**
   * Guards against a refusal that states "not run" after the answer of another attempt was lost.
   */
  @Test
  public void aRejectionDoesNotUndoAnEarlierAttemptThatMayHaveRun() {
    RequestLifecycle request = sentRequest(Repeatability.IDEMPOTENT, false, 2, AVAILABLE);
    assertEquals(request.onAnswerLost(), NextStep.SEND_AGAIN);
    request.onSent();
    assertEquals(request.onRejected(), NextStep.FAIL);
    assertTrue(request.mayHaveRun());
    assertEquals(request.onDeadlineExceeded(), NextStep.FAIL);
  }

  @Test
  public void aStartedStreamIsBrokenOffUnlessItIsResumable() {
    RequestLifecycle notResumable = sentRequest(Repeatability.STREAMING, false, 2, AVAILABLE);
    notResumable.onDelivered();
    assertEquals(notResumable.onAnswerLost(), NextStep.BREAK_OFF);
    RequestLifecycle resumable = sentRequest(Repeatability.STREAMING, true, 2, AVAILABLE);
    resumable.onEventDelivered(7);
    assertEquals(resumable.onAnswerLost(), NextStep.RESUME);
    assertEquals(resumable.lastEventId(), OptionalLong.of(7));
  }

  @Test
  public void aStreamWithoutEventIdsIsNotResumed() {
    RequestLifecycle request = sentRequest(Repeatability.STREAMING, true, 2, AVAILABLE);
    request.onDelivered();
    assertEquals(request.onAnswerLost(), NextStep.BREAK_OFF);
  }

  @Test
  public void aStartedAnswerIsBrokenOffAtTheDeadline() {
    RequestLifecycle request = sentRequest(Repeatability.STREAMING, true, 2, AVAILABLE);
    request.onEventDelivered(1);
    assertEquals(request.onDeadlineExceeded(), NextStep.BREAK_OFF);
  }

  private static RequestLifecycle sentRequest(
      Repeatability kind, boolean resumable, int attemptsMax, RepeatBudget budget) {
    RequestLifecycle request = arrivedRequest(kind, resumable, attemptsMax, budget);
    request.onSent();
    return request;
  }

  private static RequestLifecycle arrivedRequest(
      Repeatability kind, boolean resumable, int attemptsMax, RepeatBudget budget) {
    Route route =
        new Route(
            "route",
            "host.example",
            "/a/",
            kind,
            Duration.ofSeconds(2),
            Duration.ofMillis(200),
            1,
            List.of(new ServiceShare("service", 1)),
            attemptsMax,
            false,
            false,
            resumable);
    return new RequestLifecycle(route, "service", OptionalLong.empty(), budget);
  }

  private static RepeatBudget budget(boolean allows) {
    return new RepeatBudget() {
      @Override
      public double remaining(String service) {
        return 0;
      }

      @Override
      public void requestArrived(String service) {}

      @Override
      public boolean tryAcquire(String service) {
        return allows;
      }
    };
  }
}
