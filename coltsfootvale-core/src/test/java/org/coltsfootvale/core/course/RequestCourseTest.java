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

public class RequestCourseTest {

  private static final RepeatBudget PLENTY = budget(true);
  private static final RepeatBudget SPENT = budget(false);

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
  public void whatFollowsAnAttemptWithoutAnswerDependsOnTheKind(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sent(kind, resumable, 2, PLENTY).onRejected(), rejected);
    assertEquals(sent(kind, resumable, 2, PLENTY).onFailureAnswer(), failed);
    assertEquals(sent(kind, resumable, 2, PLENTY).onAnswerLost(), lost);
  }

  @Test(dataProvider = "kinds")
  public void noRequestIsSentMoreOftenThanItsRouteAllows(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sent(kind, resumable, 1, PLENTY).onRejected(), NextStep.REFUSE);
    assertEquals(sent(kind, resumable, 1, PLENTY).onFailureAnswer(), NextStep.DELIVER);
    assertEquals(sent(kind, resumable, 1, PLENTY).onAnswerLost(), NextStep.FAIL);
  }

  @Test(dataProvider = "kinds")
  public void noRequestIsSentAgainOnceTheBudgetIsSpent(
      Repeatability kind, boolean resumable, NextStep rejected, NextStep failed, NextStep lost) {
    assertEquals(sent(kind, resumable, 2, SPENT).onRejected(), NextStep.REFUSE);
    assertEquals(sent(kind, resumable, 2, SPENT).onFailureAnswer(), NextStep.DELIVER);
    assertEquals(sent(kind, resumable, 2, SPENT).onAnswerLost(), NextStep.FAIL);
  }

  @Test
  public void aRequestThatReachedNoReplicaIsPlacedAgainWithoutSpendingTheBudget() {
    RequestLifecycle course = arrived(Repeatability.AT_MOST_ONCE, false, 1, SPENT);
    assertEquals(course.onConnectionFailure(), NextStep.SEND_AGAIN);
    assertFalse(course.mayHaveRun());
  }

  @Test
  public void aRequestCountsAsRunFromItsFirstByteUntilTheReplicaRejectsIt() {
    RequestLifecycle course = arrived(Repeatability.AT_MOST_ONCE, false, 2, PLENTY);
    course.onSent();
    assertTrue(course.mayHaveRun());
    assertEquals(course.onDeadlineExceeded(), NextStep.FAIL);
    course.onRejected();
    assertFalse(course.mayHaveRun());
    assertEquals(course.onDeadlineExceeded(), NextStep.REFUSE);
  }

  @Test
  public void aStreamThatHasBegunIsBrokenOffUnlessItCanBeResumed() {
    RequestLifecycle fixed = sent(Repeatability.STREAMING, false, 2, PLENTY);
    fixed.onDelivered();
    assertEquals(fixed.onAnswerLost(), NextStep.BREAK_OFF);
    RequestLifecycle resumable = sent(Repeatability.STREAMING, true, 2, PLENTY);
    resumable.onEventDelivered(7);
    assertEquals(resumable.onAnswerLost(), NextStep.RESUME);
    assertEquals(resumable.lastEventId(), OptionalLong.of(7));
  }

  @Test
  public void aStreamWhoseEventsHaveNoNumbersIsNotResumed() {
    RequestLifecycle course = sent(Repeatability.STREAMING, true, 2, PLENTY);
    course.onDelivered();
    assertEquals(course.onAnswerLost(), NextStep.BREAK_OFF);
  }

  @Test
  public void anAnswerThatHasBegunIsNeverEndedAsWholeWhenTheTimeIsOver() {
    RequestLifecycle course = sent(Repeatability.STREAMING, true, 2, PLENTY);
    course.onEventDelivered(1);
    assertEquals(course.onDeadlineExceeded(), NextStep.BREAK_OFF);
  }

  private static RequestLifecycle sent(
      Repeatability kind, boolean resumable, int attemptsMax, RepeatBudget budget) {
    RequestLifecycle course = arrived(kind, resumable, attemptsMax, budget);
    course.onSent();
    return course;
  }

  private static RequestLifecycle arrived(
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
