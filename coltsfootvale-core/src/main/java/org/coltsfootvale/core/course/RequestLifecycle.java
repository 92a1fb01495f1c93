package org.coltsfootvale.core.course;

import java.util.OptionalLong;
import org.coltsfootvale.core.routing.Route;

/**
 * Tracks the state of one request from arrival to end, and decides the next step after each event.
 * A request counts as possibly run from the first byte sent to a replica until that replica states
 * that it did not run it. Confined to one thread.
 */
public final class RequestLifecycle {

  private final Route route;
  private final String service;
  private final RepeatBudget budget;
  private int sends;
  private boolean mayHaveRun;
  private boolean mayHaveRunBefore;
  private boolean answerBegun;
  private boolean eventDelivered;
  private OptionalLong lastEventId;

  /**
   * Creates the state of a request that has arrived.
   *
   * @param route the route of the request
   * @param service the service selected by the route's shares
   * @param lastEventId the id of the last event that the caller has, if it resumes a stream
   * @param budget the budget for retries
   */
  public RequestLifecycle(
      Route route, String service, OptionalLong lastEventId, RepeatBudget budget) {
    this.route = route;
    this.service = service;
    this.lastEventId = lastEventId;
    this.budget = budget;
    budget.requestArrived(service);
  }

  /** Returns the route. */
  public Route route() {
    return route;
  }

  /** Returns the service. */
  public String service() {
    return service;
  }

  /** Returns how often the request has been sent to a replica. */
  public int sends() {
    return sends;
  }

  /** Returns the retries that this router may still spend on the service. */
  public double repeatsLeft() {
    return budget.remaining(service);
  }

  /** Returns whether the request may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether any part of an answer has been delivered to the caller. */
  public boolean answerBegun() {
    return answerBegun;
  }

  /** Returns the id of the last event that the caller has, if any. */
  public OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Records that the first byte of the request is sent to a replica. */
  public void onSent() {
    sends++;
    mayHaveRunBefore = mayHaveRun;
    mayHaveRun = true;
  }

  /** Records that a part of the answer has been delivered to the caller. */
  public void onDelivered() {
    answerBegun = true;
  }

  /** Records that a complete event of a stream has been delivered to the caller. */
  public void onEventDelivered(long eventId) {
    answerBegun = true;
    eventDelivered = true;
    lastEventId = OptionalLong.of(eventId);
  }

  /** Returns the next step after a replica could not be reached and no byte was sent to it. */
  public NextStep onConnectionFailure() {
    if (answerBegun) {
      return resumable() ? NextStep.RESUME : NextStep.BREAK_OFF;
    }
    return NextStep.SEND_AGAIN;
  }

  /** Returns the next step after a replica states that it did not run the request. */
  public NextStep onRejected() {
    // The rejection concerns this attempt only; an earlier one may have run.
    mayHaveRun = mayHaveRunBefore;
    if (answerBegun) {
      return retryIf(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return retryIf(true, NextStep.SEND_AGAIN, mayHaveRun ? NextStep.FAIL : NextStep.REFUSE);
  }

  /** Returns the next step after a complete answer that reports a failure of the replica. */
  public NextStep onFailureAnswer() {
    if (answerBegun) {
      return retryIf(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return retryIf(retryableFromStart(), NextStep.SEND_AGAIN, NextStep.DELIVER);
  }

  /** Returns the next step after a request that was sent got no answer or an incomplete one. */
  public NextStep onAnswerLost() {
    if (answerBegun) {
      return retryIf(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return retryIf(retryableFromStart(), NextStep.SEND_AGAIN, NextStep.FAIL);
  }

  /** Returns the next step after the deadline has passed. */
  public NextStep onDeadlineExceeded() {
    if (answerBegun) {
      return NextStep.BREAK_OFF;
    }
    return mayHaveRun ? NextStep.FAIL : NextStep.REFUSE;
  }

  private NextStep retryIf(boolean allowed, NextStep next, NextStep otherwise) {
    boolean attemptsLeft = sends < route.attemptsMax();
    return allowed && attemptsLeft && budget.tryAcquire(service) ? next : otherwise;
  }

  private boolean retryableFromStart() {
    return route.repeatable() || resumable();
  }

  private boolean resumable() {
    return route.resumable() && (eventDelivered || !answerBegun);
  }
}
