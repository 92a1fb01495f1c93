package org.coltsfootvale.core.course;

import java.util.OptionalLong;
import org.coltsfootvale.core.routing.Route;

/**
 * The state of one request from its arrival to its end, and the decision what follows each event. A
 * request counts as possibly run from the first byte that leaves towards a replica until that
 * replica states that it did not run it. Confined to one thread.
 */
public final class RequestLifecycle {

  private final Route route;
  private final String service;
  private final RepeatBudget budget;
  private int sends;
  private boolean mayHaveRun;
  private boolean answerBegun;
  private boolean answerEventful;
  private OptionalLong lastEventId;

  /**
   * Starts the course of a request that has arrived.
   *
   * @param route its route
   * @param service the service that the route's shares have picked
   * @param lastEventId the last event that the caller already has, if it resumes a stream
   * @param budget the repeats that may be spent
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

  /** Returns the repeats that this router may still spend on the service now. */
  public double repeatsLeft() {
    return budget.remaining(service);
  }

  /** Returns whether the request may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether a part of an answer has been delivered to the caller. */
  public boolean answerBegun() {
    return answerBegun;
  }

  /** Returns the last event that the caller has, if any. */
  public OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Takes note that the first byte of the request leaves towards a replica. */
  public void onSent() {
    sends++;
    mayHaveRun = true;
  }

  /** Takes note that a part of the answer has been delivered to the caller. */
  public void onDelivered() {
    answerBegun = true;
  }

  /** Takes note that a whole event of a stream has been delivered to the caller. */
  public void onEventDelivered(long eventId) {
    answerBegun = true;
    answerEventful = true;
    lastEventId = OptionalLong.of(eventId);
  }

  /** Decides what follows when a replica could not be reached; no byte has left towards it. */
  public NextStep onConnectionFailure() {
    if (answerBegun) {
      return resumable() ? NextStep.RESUME : NextStep.BREAK_OFF;
    }
    return NextStep.SEND_AGAIN;
  }

  /** Decides what follows when a replica states that it did not run the request. */
  public NextStep onRejected() {
    mayHaveRun = false;
    if (answerBegun) {
      return again(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return again(true, NextStep.SEND_AGAIN, NextStep.REFUSE);
  }

  /** Decides what follows when the answer is a whole one that reports a failure of the replica. */
  public NextStep onFailureAnswer() {
    if (answerBegun) {
      return again(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return again(repeatableFromStart(), NextStep.SEND_AGAIN, NextStep.DELIVER);
  }

  /** Decides what follows when a request that was sent gets no answer, or only a part of one. */
  public NextStep onAnswerLost() {
    if (answerBegun) {
      return again(resumable(), NextStep.RESUME, NextStep.BREAK_OFF);
    }
    return again(repeatableFromStart(), NextStep.SEND_AGAIN, NextStep.FAIL);
  }

  /** Decides what follows when the time of the request is over. */
  public NextStep onDeadlineExceeded() {
    if (answerBegun) {
      return NextStep.BREAK_OFF;
    }
    return mayHaveRun ? NextStep.FAIL : NextStep.REFUSE;
  }

  private NextStep again(boolean allowed, NextStep again, NextStep otherwise) {
    boolean attemptsLeft = sends < route.attemptsMax();
    return allowed && attemptsLeft && budget.tryAcquire(service) ? again : otherwise;
  }

  private boolean repeatableFromStart() {
    return route.repeatable() || resumable();
  }

  private boolean resumable() {
    return route.resumable() && (answerEventful || !answerBegun);
  }
}
