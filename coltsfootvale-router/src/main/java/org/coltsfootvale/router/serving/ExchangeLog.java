package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.course.NextStep;
import org.coltsfootvale.core.course.RequestLifecycle;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.CachedPrefix;
import org.coltsfootvale.core.dispatch.DispatchRequest;
import org.coltsfootvale.core.dispatch.Placement;
import org.coltsfootvale.core.dispatch.Refusal;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.quarantine.PromptQuarantine;
import org.coltsfootvale.core.routing.Organisation;

/** Records the decisions on one request with their inputs. */
final class ExchangeLog {

  /** The logged age of a report that has never arrived. */
  private static final long NEVER = -1;

  private final DecisionLog log;
  private final LongSupplier nanoTime;
  private final DispatchRequest request;
  private final RequestLifecycle lifecycle;

  ExchangeLog(
      DecisionLog log, LongSupplier nanoTime, DispatchRequest request, RequestLifecycle lifecycle) {
    this.log = log;
    this.nanoTime = nanoTime;
    this.request = request;
    this.lifecycle = lifecycle;
  }

  void accepted(Optional<Organisation> organisation, ServingState state) {
    Decision decision =
        decision(DecisionEvent.REQUEST_ACCEPTED)
            .with("route", lifecycle.route().name())
            .with("urgency", request.urgency())
            .with("time_left_millis", millis(request.deadlineNanos() - now()))
            .with("prompt_tokens", request.description().promptTokens())
            .with("desired_state", state.desiredStateVersion())
            .with("desired_state_age_millis", state.desiredStateAge().toMillis());
    organisation.ifPresent(owner -> decision.with("organisation", owner.name()));
    List<String> parts = request.description().sharedPartIds();
    if (!parts.isEmpty()) {
      decision.with("parts", PartNames.join(parts));
    }
    log.record(decision);
  }

  void queued(int position, int queueLength, ServiceDispatcher dispatcher) {
    log.record(
        decision(DecisionEvent.REQUEST_WAITING)
            .with("position", position)
            .with("queue_length", queueLength)
            .with("replicas", dispatcher.replicas().size())
            .with("time_left_millis", millis(request.deadlineNanos() - now())));
  }

  void placed(Placement placement) {
    ReplicaState replica = placement.replica();
    OptionalLong reportAge = replica.reportAgeNanos(now());
    Decision decision =
        decision(DecisionEvent.REQUEST_PLACED)
            .with("replica", replica.replica().id())
            .with("basis", placement.basis().name())
            .with("load_estimate", placement.loadEstimate())
            .with("mean_load", placement.meanLoad())
            .with("report_age_millis", reportAge.isEmpty() ? NEVER : millis(reportAge.getAsLong()))
            .with("entry_age_millis", millis(now() - replica.confirmedNanos()))
            .with("candidates", placement.candidates())
            .with("send", lifecycle.sends() + 1)
            .with("waited_millis", sinceArrival());
    CachedPrefix cached = placement.cached();
    if (cached.sharedTokens() > 0) {
      decision
          .with("part", request.sharedPartId())
          .with("shared_tokens", cached.sharedTokens())
          .with("held_tokens", cached.heldTokens())
          .with("fetch_tokens", cached.fetchTokens())
          .with("holders", cached.holders());
    }
    cached.source().ifPresent(source -> decision.with("fetch_from", source.toString()));
    log.record(decision);
  }

  void replicaSuspended(String replica, Duration pause, String cause) {
    log.record(
        aboutReplica(DecisionEvent.REPLICA_SUSPENDED, replica)
            .with("pause_millis", pause.toMillis())
            .with("cause", cause));
  }

  void replicaPaused(String replica, Duration requested, Duration applied) {
    log.record(
        aboutReplica(DecisionEvent.REPLICA_PAUSED, replica)
            .with("wanted_millis", requested.toMillis())
            .with("pause_millis", applied.toMillis()));
  }

  private Decision aboutReplica(DecisionEvent event, String replica) {
    return Decision.of(event, request.description().requestId()).with("replica", replica);
  }

  void attemptFailed(String replica, String cause, NextStep next) {
    log.record(
        decision(DecisionEvent.ATTEMPT_FAILED)
            .with("replica", replica)
            .with("cause", cause)
            .with("next", next.name())
            .with("sends", lifecycle.sends())
            .with("sends_max", lifecycle.route().attemptsMax())
            .with("may_have_run", lifecycle.mayHaveRun())
            .with("answer_begun", lifecycle.answerBegun())
            .with("repeats_left", lifecycle.repeatsLeft())
            .with("after_millis", sinceArrival()));
  }

  void completed(HttpResponseStatus status) {
    log.record(ended(DecisionEvent.REQUEST_COMPLETED).with("status", status.code()));
  }

  void refused(Refusal refusal, ServiceDispatcher dispatcher, PromptQuarantine quarantine) {
    Decision decision =
        ended(DecisionEvent.REQUEST_REFUSED)
            .with("reason", refusal.reason().name())
            .with("retry_after_millis", refusal.retryAfter().toMillis())
            .with("queue_length", dispatcher.waiting())
            .with("replicas", dispatcher.replicas().size());
    if (refusal.reason() == Refusal.Reason.PROMPT_QUARANTINED) {
      decision.with("parts", quarantinedParts(quarantine));
    }
    log.record(decision);
  }

  private String quarantinedParts(PromptQuarantine quarantine) {
    return PartNames.join(request.partKeys().stream().filter(quarantine::quarantined).toList());
  }

  void denied(HttpResponseStatus status, ServingState state) {
    log.record(
        ended(DecisionEvent.REQUEST_DENIED)
            .with("status", status.code())
            .with("cause", "key withdrawn")
            .with("desired_state", state.desiredStateVersion())
            .with("desired_state_age_millis", state.desiredStateAge().toMillis()));
  }

  void failed(HttpResponseStatus status) {
    log.record(ended(DecisionEvent.REQUEST_FAILED).with("status", status.code()));
  }

  void brokenOff() {
    log.record(ended(DecisionEvent.REQUEST_BROKEN_OFF));
  }

  void abandoned() {
    log.record(ended(DecisionEvent.REQUEST_ABANDONED));
  }

  private Decision ended(DecisionEvent event) {
    return decision(event)
        .with("sends", lifecycle.sends())
        .with("may_have_run", lifecycle.mayHaveRun())
        .with("total_millis", sinceArrival());
  }

  private Decision decision(DecisionEvent event) {
    return Decision.of(event, request.description().requestId())
        .with("service", lifecycle.service());
  }

  private long sinceArrival() {
    return millis(now() - request.arrivedNanos());
  }

  private long now() {
    return nanoTime.getAsLong();
  }

  private static long millis(long nanos) {
    return Duration.ofNanos(nanos).toMillis();
  }
}
