package org.coltsfootvale.router.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import okhttp3.Headers;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.RequestClass;
import org.coltsfootvale.core.placement.ReplicaSelector;
import org.coltsfootvale.core.release.ServiceSpec;
import org.coltsfootvale.core.release.ServiceSpec.Replica;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.coltsfootvale.core.retry.RequestTraits;
import org.coltsfootvale.core.retry.RetryDecision;
import org.coltsfootvale.router.backend.AttemptFailedException;
import org.coltsfootvale.router.backend.HopByHopHeaders;
import org.coltsfootvale.router.backend.SendGate;
import org.coltsfootvale.router.backend.ServiceClient;
import org.coltsfootvale.router.backend.ServiceClient.ServiceCall;
import org.jspecify.annotations.Nullable;

/** The course of one request to a plain service. */
final class ServiceCourse {

  private static final Set<String> REPEATABLE_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private final PlainServiceHandler.Collaborators with;
  private final IncomingRequest request;
  private final ServiceSpec service;
  private final String path;
  private final Runnable beforeSend;
  private final Answer answer;
  private final boolean repeatable;
  private final Headers headers;
  private final Set<String> excluded = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;
  private @Nullable AttemptFailedException lastFailure;

  ServiceCourse(
      PlainServiceHandler.Collaborators with,
      IncomingRequest request,
      ServiceSpec service,
      String path,
      Runnable beforeSend,
      Answer answer) {
    this.with = with;
    this.request = request;
    this.service = service;
    this.path = path;
    this.beforeSend = beforeSend;
    this.answer = answer;
    this.repeatable =
        REPEATABLE_METHODS.contains(request.method()) && !IdempotentRequestExecutor.marked(request);
    this.headers = headers(request);
  }

  private static Headers headers(IncomingRequest request) {
    Headers.Builder headers =
        HopByHopHeaders.remove(request.headers())
            .newBuilder()
            .removeAll("Authorization")
            .removeAll("Content-Length")
            .set("X-Request-Id", request.requestId())
            .set("X-Organisation", request.organisation().value());
    if (headers.get("Accept-Encoding") == null) {
      headers.set("Accept-Encoding", "identity");
    }
    return headers.build();
  }

  /** Serves the request; returns when the answer is whole. */
  void run() {
    with.retryPolicy().requestStarted();
    AdmissionController.Permit permit =
        with.admission().admit(request.organisation(), RequestClass.QUICK, 0);
    try {
      while (!runAtReplica()) {
        checkDeadline();
      }
      answer.end();
    } catch (ColtsfootvaleException e) {
      throw Outcomes.overAllAttempts(e, mayHaveRun);
    } finally {
      permit.finish(0);
    }
  }

  private void checkDeadline() {
    if (!with.clock().instant().isBefore(request.deadline())) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the request could be sent");
    }
  }

  /** Returns false if another replica is to be tried. */
  private boolean runAtReplica() {
    ReplicaSelector.Selection selection = select();
    try {
      return attempt(selection.replica());
    } finally {
      selection.release();
    }
  }

  private ReplicaSelector.Selection select() {
    try {
      return with.replicas().select(service.id(), repeatable, excluded);
    } catch (ColtsfootvaleException e) {
      throw lastFailure == null ? e : lastFailure;
    }
  }

  private boolean attempt(Replica replica) {
    attempts++;
    SendGate gate = new SendGate(beforeSend);
    try {
      with.client().call(call(replica), gate, new Passing());
      with.breakers().onSuccess(replica.id());
      return true;
    } catch (AttemptFailedException e) {
      mayHaveRun |= e.failure().stage() == Stage.SENT || e.failure().stage() == Stage.PARTIAL;
      afterFailure(replica, e);
      return false;
    } catch (RuntimeException e) {
      mayHaveRun |= gate.passed();
      with.breakers().onSuccess(replica.id());
      throw e;
    }
  }

  private void afterFailure(Replica replica, AttemptFailedException failed) {
    lastFailure = failed;
    with.metrics().attemptFailed(failed.failure());
    if (failed.failure().stage() == Stage.REFUSED) {
      with.breakers().onSuccess(replica.id());
      noteLeaving(replica, failed);
    } else {
      with.breakers().onFailure(replica.id());
    }
    RequestTraits traits = new RequestTraits(repeatable, false, request.deadline());
    RetryDecision decision = with.retryPolicy().decide(traits, attempts, failed.failure());
    if (decision instanceof RetryDecision.GiveUp giveUp) {
      throw giveUp.error();
    }
    if (answer.begun() || !(decision instanceof RetryDecision.Failover)) {
      throw failed;
    }
    with.metrics().retried();
    excluded.add(replica.id());
    pause(((RetryDecision.Failover) decision).delay());
  }

  private void noteLeaving(Replica replica, AttemptFailedException failed) {
    if (failed.leaving()) {
      with.leaving().add(replica.id());
    }
  }

  private void pause(Duration delay) {
    Duration left = Duration.between(with.clock().instant(), request.deadline());
    Duration wait = delay.compareTo(left) < 0 ? delay : left;
    if (!wait.isNegative() && !wait.isZero()) {
      with.pause().await(wait);
    }
  }

  private ServiceCall call(Replica replica) {
    return new ServiceCall(
        replica.address(),
        request.method(),
        path,
        request.query(),
        headers,
        request.body(),
        request.requestId(),
        request.deadline(),
        !repeatable);
  }

  /** Passes a service's answer on. */
  private final class Passing implements ServiceClient.AnswerConsumer {

    @Override
    public void head(int status, Headers answerHeaders) {
      answer.head(status, answerHeaders);
    }

    @Override
    public void body(byte[] data, int length) {
      answer.body(data, length);
    }
  }
}
