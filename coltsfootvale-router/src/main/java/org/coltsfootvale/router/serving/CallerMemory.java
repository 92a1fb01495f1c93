package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.overload.CallerCharge;
import org.coltsfootvale.core.overload.CallerMemoryBudget;
import org.coltsfootvale.core.overload.ChargedConnection;
import org.coltsfootvale.router.http.ServingLoop;
import org.jspecify.annotations.Nullable;

/**
 * Charges the memory budget for callers and carries out its decisions. Confined to the serving
 * loop.
 */
final class CallerMemory {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How often a response that waits for room tries again; polled only while one waits. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(20);

  private static final long RETRY_AFTER_MILLIS_MIN = 500;
  private static final long RETRY_AFTER_MILLIS_RANGE = 1_000;

  private final CallerMemoryBudget budget;
  private final ServingLoop loop;
  private final DoubleSupplier random;
  private final DecisionLog log;
  private final Deque<AnswerRoom> waiting = new ArrayDeque<>();
  private boolean retryScheduled;

  /**
   * Creates the memory of the callers of one router.
   *
   * @param budget decides what is admitted
   * @param random returns random numbers from 0 to 1
   */
  CallerMemory(
      CallerMemoryBudget budget, ServingLoop loop, DoubleSupplier random, DecisionLog log) {
    this.budget = budget;
    this.loop = loop;
    this.random = random;
    this.log = log;
  }

  CallerMemoryBudget budget() {
    return budget;
  }

  /** Opens the charge of a connection. */
  CallerCharge open(ChargedConnection connection) {
    return budget.open(connection);
  }

  /** Charges an open connection; returns false after closing it if there is no room. */
  boolean admitConnection(CallerCharge charge) {
    if (!makeRoom(charge, CallerMemoryBudget.CONNECTION_BYTES)) {
      close(charge);
      return false;
    }
    charge.set(CallerCharge.Use.CONNECTION, CallerMemoryBudget.CONNECTION_BYTES);
    return true;
  }

  /**
   * Charges the bytes of an incomplete request; returns false if it was refused as there is no
   * room.
   */
  boolean admitRequest(CallerCharge charge, CallerCharge.Use use, long bytes) {
    long more = bytes - charge.get(use);
    if (more > 0 && !makeRoom(charge, more)) {
      if (!charge.closed()) {
        refuse(charge);
      }
      return false;
    }
    charge.set(use, bytes);
    return true;
  }

  /** Ends other requests and connections until bytes fit; returns false if that is not enough. */
  private boolean makeRoom(CallerCharge charge, long more) {
    if (budget.requestFits(charge, more)) {
      return true;
    }
    updateUnsent();
    while (!charge.closed() && !budget.requestFits(charge, more)) {
      @Nullable CallerCharge stalled = budget.stalledRequest(charge, more);
      @Nullable CallerCharge unread = stalled == null ? budget.unreadToClose() : null;
      boolean large = charge.incompleteBytes() + more > CallerMemoryBudget.LARGE_BYTES;
      @Nullable CallerCharge response =
          stalled == null && unread == null && !large ? budget.stalledResponse(charge) : null;
      @Nullable CallerCharge chosen =
          stalled == null ? budget.latestRequest(charge, more) : stalled;
      if (unread != null) {
        close(unread);
      } else if (response != null) {
        endResponse(response);
      } else if (chosen == null || chosen == charge) {
        return false;
      } else {
        refuse(chosen);
      }
    }
    return !charge.closed();
  }

  /**
   * Charges the bytes of a response that is read from a replica; returns false without a charge if
   * there is no room for them now.
   */
  boolean admitResponse(CallerCharge charge, long bytes) {
    return admitResponse(charge, CallerCharge.Use.BUFFERED_RESPONSE, bytes);
  }

  /**
   * Charges the head and the trailers of a response; returns false without a charge if there is no
   * room for them now.
   */
  boolean admitResponseFields(CallerCharge charge, long bytes) {
    long charged = bytes > CallerMemoryBudget.SMALL_BYTES ? bytes : 0;
    if (charged <= charge.get(CallerCharge.Use.RESPONSE_FIELDS)) {
      charge.set(CallerCharge.Use.RESPONSE_FIELDS, charged);
      return true;
    }
    return admitResponse(charge, CallerCharge.Use.RESPONSE_FIELDS, charged);
  }

  private boolean admitResponse(CallerCharge charge, CallerCharge.Use use, long bytes) {
    long more = Math.max(0, bytes - charge.get(use));
    if (!budget.responseFits(charge, more)) {
      updateUnsent();
    }
    while (!budget.responseFits(charge, more)) {
      @Nullable CallerCharge request = budget.stalledRequest(charge, 0);
      @Nullable CallerCharge unread = request == null ? budget.unreadToClose() : null;
      // A large response waits for others, as it may itself be one that makes no progress.
      boolean large = charge.responseBytes() + more > CallerMemoryBudget.LARGE_BYTES;
      @Nullable CallerCharge stalled =
          request == null && unread == null && !large ? budget.stalledResponse(charge) : null;
      if (request != null) {
        refuse(request);
      } else if (unread != null) {
        close(unread);
      } else if (stalled != null) {
        endResponse(stalled);
      } else {
        return false;
      }
    }
    charge.set(use, bytes);
    return !charge.closed();
  }

  /** Records that bytes of a response have arrived from its replica. */
  void onResponseProgress(CallerCharge charge) {
    budget.onResponseProgress(charge);
  }

  private void updateUnsent() {
    List<CallerCharge> charges = budget.charges();
    for (int i = 0; i < charges.size(); i++) {
      charges.get(i).connection().updateUnsent();
    }
  }

  private void refuse(CallerCharge charge) {
    record(DecisionEvent.CALLER_REFUSED_FOR_MEMORY, charge);
    charge.connection().refuseRequest();
    charge.releaseIncomplete();
  }

  private void endResponse(CallerCharge charge) {
    record(DecisionEvent.RESPONSE_ENDED_FOR_MEMORY, charge);
    charge.endResponse();
  }

  private void close(CallerCharge charge) {
    record(DecisionEvent.CALLER_CLOSED_FOR_MEMORY, charge);
    charge.connection().close();
    charge.close();
  }

  private void record(DecisionEvent event, CallerCharge charge) {
    log.record(
        Decision.of(event)
            .with("connection_bytes", charge.heldBytes())
            .with("held_bytes", budget.heldBytes())
            .with("capacity_bytes", budget.capacity()));
  }

  /** Records that a request was answered 408. */
  void recordTooSlow() {
    log.record(Decision.of(DecisionEvent.CALLER_TOO_SLOW));
  }

  /** Returns when a refused caller may try again; random, so that they do not return together. */
  Duration retryDelay() {
    return Duration.ofMillis(
        RETRY_AFTER_MILLIS_MIN + (long) (random.getAsDouble() * RETRY_AFTER_MILLIS_RANGE));
  }

  /** Resumes a response once there is room for it. */
  void await(AnswerRoom response) {
    waiting.addLast(response);
    scheduleRetry();
  }

  /** Forgets a response that has ended. */
  void forget(AnswerRoom response) {
    waiting.remove(response);
  }

  private void scheduleRetry() {
    if (!retryScheduled && !waiting.isEmpty()) {
      retryScheduled = true;
      loop.schedule(RETRY_INTERVAL, this::retry);
    }
  }

  /** Resumes responses in their order; small ones may overtake a large one that does not fit. */
  private void retry() {
    retryScheduled = false;
    boolean largeOneWaits = false;
    for (AnswerRoom response : List.copyOf(waiting)) {
      boolean large = response.wantedBytes() > CallerMemoryBudget.LARGE_BYTES;
      if (large && largeOneWaits) {
        continue;
      }
      if (response.tryResume()) {
        waiting.remove(response);
      } else {
        largeOneWaits |= large;
      }
    }
    scheduleRetry();
  }

  /** Refuses the large incomplete requests if a failure shows that the heap is exhausted. */
  void checkForOutOfMemory(Throwable cause) {
    if (!(cause instanceof OutOfMemoryError)) {
      return;
    }
    LOGGER.atSevere().withCause(cause).log(
        "the heap is exhausted; the large incomplete requests of callers are refused");
    List<CallerCharge> charges = budget.charges();
    for (int i = charges.size() - 1; i >= 0; i--) {
      if (i < charges.size() && charges.get(i).incompleteBytes() > CallerMemoryBudget.LARGE_BYTES) {
        refuse(charges.get(i));
      }
    }
  }
}
