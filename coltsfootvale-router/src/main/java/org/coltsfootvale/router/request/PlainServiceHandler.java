package org.coltsfootvale.router.request;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.ServiceId;
import org.coltsfootvale.core.placement.ReplicaSelector;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ServiceSpec;
import org.coltsfootvale.core.retry.CircuitBreakers;
import org.coltsfootvale.core.retry.RetryPolicy;
import org.coltsfootvale.router.backend.ServiceClient;
import org.jspecify.annotations.Nullable;

/** Serves requests to plain services. */
public final class PlainServiceHandler implements RequestHandler {

  private final Collaborators collaborators;
  private final IdempotentRequestExecutor requestExecutor;

  /** Creates the handler. */
  public PlainServiceHandler(
      Collaborators collaborators, IdempotentRequestExecutor requestExecutor) {
    this.collaborators = collaborators;
    this.requestExecutor = requestExecutor;
  }

  /**
   * The collaborators of a service request's execution.
   *
   * @param fleet the state of the fleet
   * @param replicas chooses replicas
   * @param leaving records replicas that refuse because they are leaving
   * @param admission enforces limits
   * @param retryPolicy decides on retries after a failure
   * @param breakers the replicas' circuit breakers, by replica id
   * @param client sends to services
   * @param metrics the meters of served requests
   * @param clock the clock
   * @param sleeper sleeps between attempts
   */
  public record Collaborators(
      Supplier<FleetState> fleet,
      ReplicaSelector replicas,
      LeavingReplicas leaving,
      AdmissionController admission,
      RetryPolicy retryPolicy,
      CircuitBreakers breakers,
      ServiceClient client,
      ServingMetrics metrics,
      InstantSource clock,
      Sleeper sleeper) {}

  /**
   * Returns the service that a path names.
   *
   * @param path the encoded path, starting with {@link RequestDispatcher#SERVICES_PATH}
   * @throws ColtsfootvaleException UNKNOWN_SERVICE, with outcome NOT_RUN
   */
  public static ServiceSpec find(FleetState fleet, String path) {
    String name = name(path);
    @Nullable ServiceSpec service;
    try {
      service = fleet.services().get(new ServiceId(name));
    } catch (IllegalArgumentException e) {
      service = null;
    }
    if (service == null) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.UNKNOWN_SERVICE, "no release note has added the service of this path");
    }
    return service;
  }

  private static String name(String path) {
    String rest = path.substring(RequestDispatcher.SERVICES_PATH.length());
    int slash = rest.indexOf('/');
    return slash < 0 ? rest : rest.substring(0, slash);
  }

  @Override
  public void serve(IncomingRequest request, Answer answer) {
    requestExecutor.serve(
        request, answer, (beforeSend, target) -> run(request, beforeSend, target));
  }

  private void run(IncomingRequest request, Runnable beforeSend, Answer answer) {
    ServiceSpec service = find(collaborators.fleet().get(), request.path());
    if (request.body().length > service.bodyBytesMax()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.BODY_TOO_LARGE,
          "the service takes at most " + service.bodyBytesMax() + " bytes");
    }
    int prefix = RequestDispatcher.SERVICES_PATH.length() + name(request.path()).length();
    String rest = request.path().substring(prefix);
    String path = rest.isEmpty() ? "/" : rest;
    new ServiceRequestExecution(collaborators, request, service, path, beforeSend, answer).run();
  }
}
