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

/** Executes one request to a plain service: admission, attempts at replicas and retries. */
final class ServiceRequestExecution {

  private static final Set<String> REPEATABLE_METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private final PlainServiceHandler.Collaborators collaborators;
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

  ServiceRequestExecution(
      PlainServiceHandler.Collaborators collaborators,
      IncomingRequest request,
      ServiceSpec service,
      String path,
      Runnable beforeSend,
      Answer answer) {
    this.collaborators = collaborators;
    this.request = request;
    this.service = service;
    this.path = path;
    this.beforeSend = beforeSend;
    this.answer = answer;
    this.repeatable =
        REPEATABLE_METHODS.contains(request.method())
            && !IdempotentRequestExecutor.markedNoRepeat(request);
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

  /** Serves the request; returns when the answer is complete. */
  void run() {
    collaborators.retryPolicy().requestStarted();
    AdmissionController.Permit permit =
        collaborators.admission().admit(request.organisation(), RequestClass.QUICK, 0);
    try {
      while (!runAtReplica()) {
        checkDeadline();
      }
      answer.end();
    } catch (ColtsfootvaleException e) {
      throw Outcomes.afterAllAttempts(e, mayHaveRun);
    } finally {
      permit.finish(0);
    }
  }

  private void checkDeadline() {
    if (!collaborators.clock().instant().isBefore(request.deadline())) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the request could be sent");
    }
  }

  /** Returns false if another replica must be tried. */
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
      return collaborators.replicas().select(service.id(), repeatable, excluded);
    } catch (ColtsfootvaleException e) {
      throw lastFailure == null ? e : lastFailure;
    }
  }

  private boolean attempt(Replica replica) {
    attempts++;
    SendGate gate = new SendGate(beforeSend);
    try {
      collaborators.client().call(call(replica), gate, new CopyingConsumer());
      collaborators.breakers().onSuccess(replica.id());
      return true;
    } catch (AttemptFailedException e) {
      mayHaveRun |= e.failure().stage() == Stage.SENT || e.failure().stage() == Stage.PARTIAL;
      afterFailure(replica, e);
      return false;
    } catch (RuntimeException e) {
      mayHaveRun |= gate.passed();
      collaborators.breakers().onSuccess(replica.id());
      throw e;
    }
  }

  private void afterFailure(Replica replica, AttemptFailedException failed) {
    lastFailure = failed;
    collaborators.metrics().attemptFailed(failed.failure());
    if (failed.failure().stage() == Stage.REFUSED) {
      collaborators.breakers().onSuccess(replica.id());
      recordIfLeaving(replica, failed);
    } else {
      collaborators.breakers().onFailure(replica.id());
    }
    RequestTraits traits = new RequestTraits(repeatable, false, request.deadline());
    RetryDecision decision = collaborators.retryPolicy().decide(traits, attempts, failed.failure());
    if (decision instanceof RetryDecision.GiveUp giveUp) {
      throw giveUp.error();
    }
    if (answer.started() || !(decision instanceof RetryDecision.Failover)) {
      throw failed;
    }
    collaborators.metrics().retried();
    excluded.add(replica.id());
    awaitDelay(((RetryDecision.Failover) decision).delay());
  }

  private void recordIfLeaving(Replica replica, AttemptFailedException failed) {
    if (failed.leaving()) {
      collaborators.leaving().add(replica.id());
    }
  }

  private void awaitDelay(Duration delay) {
    Duration left = Duration.between(collaborators.clock().instant(), request.deadline());
    Duration wait = delay.compareTo(left) < 0 ? delay : left;
    if (!wait.isNegative() && !wait.isZero()) {
      collaborators.sleeper().await(wait);
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

  /** Copies a service's answer to the caller's. */
  private final class CopyingConsumer implements ServiceClient.AnswerConsumer {

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
