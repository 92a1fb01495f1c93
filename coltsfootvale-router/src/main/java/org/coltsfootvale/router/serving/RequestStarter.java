package org.coltsfootvale.router.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.course.DefaultRepeatBudget;
import org.coltsfootvale.core.course.RepeatBudget;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.course.RequestLifecycle;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.Refusal;
import org.coltsfootvale.core.registry.RouterRegistry;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.routing.Organisation;
import org.coltsfootvale.core.routing.Route;
import org.coltsfootvale.core.routing.RoutingState;
import org.coltsfootvale.router.http.ReplicaConnectionPool;
import org.coltsfootvale.router.http.ServingLoop;
import org.jspecify.annotations.Nullable;

/**
 * Validates a request that has been read, and starts its exchange. Confined to the serving loop.
 */
public final class RequestStarter {

  /** Maximum size of a body before the desired state is known. */
  static final int INITIAL_BODY_BYTES_MAX = 1024 * 1024;

  /**
   * The memory of a part of a prompt without the characters of its id: the id, the part, and its
   * entries in the lists of the placement and of the quarantine.
   */
  private static final long PROMPT_PART_BYTES = 128;

  private final ServingState state;
  private final CallerProtocol protocol;
  private final RepeatBudget budget;
  private final ReplicaConnectionPool links;
  private final ServingLoop loop;
  private final ReplicaTable replicas;
  private final AnswerWriter writer;
  private final ReplicaCrashDetector crashDetector;
  private final UnansweredAttempts unanswered;
  private final LongSupplier nanoTime;
  private final DecisionLog log;

  /**
   * Creates a starter.
   *
   * @param state the view of this router
   * @param protocol translates headers
   * @param budget the retry budget
   * @param links the connections to replicas
   * @param loop runs timers
   * @param replicas receives the departures that replicas announce in answers
   * @param unanswered the attempts that a quarantine cancels
   * @param nanoTime the monotonic clock in nanoseconds
   * @param log records the decisions on requests
   */
  public RequestStarter(
      ServingState state,
      CallerProtocol protocol,
      RepeatBudget budget,
      ReplicaConnectionPool links,
      ServingLoop loop,
      ReplicaTable replicas,
      UnansweredAttempts unanswered,
      LongSupplier nanoTime,
      DecisionLog log) {
    this.state = state;
    this.protocol = protocol;
    this.budget = budget;
    this.links = links;
    this.loop = loop;
    this.replicas = replicas;
    this.writer = new AnswerWriter(protocol);
    this.crashDetector = new ReplicaCrashDetector(state, links, nanoTime, log);
    this.unanswered = unanswered;
    this.nanoTime = nanoTime;
    this.log = log;
  }

  /** Returns the retry budget of a router, which shares the load with the registered ones. */
  static RepeatBudget repeatBudget(EntrySettings settings, RouterRegistry registry) {
    return new DefaultRepeatBudget(
        settings.repeatRatio(),
        settings.repeatAllowance(),
        settings.repeatWindow(),
        () -> 1.0 / registry.size(),
        System::nanoTime);
  }

  /** Returns the maximum size of a body. */
  int bodyBytesMax() {
    return state
        .routing()
        .map(routing -> routing.limits().bodyBytesMax())
        .orElse(INITIAL_BODY_BYTES_MAX);
  }

  /**
   * Returns the memory that the description of a request takes beside its head, which may be many
   * times that of the head.
   *
   * @param headBytes the memory of the head, which bounds the characters of the ids
   */
  long descriptionBytes(HttpRequest head, long headBytes) {
    int parts = protocol.promptPartsMax(head);
    return parts == 0 ? 0 : headBytes + parts * PROMPT_PART_BYTES;
  }

  /** Refuses a request that has not been read completely. */
  void refuseIncomplete(CallerConnection caller, Duration retryAfter) {
    writer.refuse(caller, retryAfter);
  }

  /** Starts a request; returns its exchange, or null if it has been answered already. */
  @Nullable Exchange start(CallerConnection caller, IncomingRequest request) {
    Optional<RoutingState> routing = state.routing();
    if (routing.isEmpty()) {
      refuse(
          caller,
          request,
          protocol.describe(request.head()),
          new Refusal(Refusal.Reason.NOT_CONFIGURED, state.initialRetryDelay()));
      return null;
    }
    return start(caller, request, routing.get());
  }

  private void refuse(
      CallerConnection caller,
      IncomingRequest request,
      RequestDescription description,
      Refusal refusal) {
    log.record(
        Decision.of(DecisionEvent.REQUEST_REFUSED, description.requestId())
            .with("reason", refusal.reason().name())
            .with("retry_after_millis", refusal.retryAfter().toMillis()));
    request.release();
    writer.refuse(caller, refusal);
  }

  private @Nullable Exchange start(
      CallerConnection caller, IncomingRequest request, RoutingState routing) {
    HttpRequest head = request.head();
    Optional<Route> route = routing.route(head.headers().get(HttpHeaderNames.HOST, ""), head.uri());
    RequestDescription description = protocol.describe(head);
    if (route.isEmpty()) {
      deny(caller, request, description, HttpResponseStatus.NOT_FOUND, "no route");
      return null;
    }
    if (!routing.admits(route.get(), description.key())) {
      String cause = description.key().isEmpty() ? "no key" : "unknown key";
      deny(caller, request, description, HttpResponseStatus.UNAUTHORIZED, cause);
      return null;
    }
    Optional<Organisation> organisation = description.key().flatMap(routing::organisationOf);
    return start(caller, request, route.get(), description, organisation);
  }

  private void deny(
      CallerConnection caller,
      IncomingRequest request,
      RequestDescription description,
      HttpResponseStatus status,
      String cause) {
    log.record(
        Decision.of(DecisionEvent.REQUEST_DENIED, description.requestId())
            .with("status", status.code())
            .with("cause", cause)
            .with("desired_state", state.desiredStateVersion())
            .with("desired_state_age_millis", state.desiredStateAge().toMillis()));
    request.release();
    writer.fail(caller, status);
  }

  private @Nullable Exchange start(
      CallerConnection caller,
      IncomingRequest request,
      Route route,
      RequestDescription description,
      Optional<Organisation> organisation) {
    Duration requested = description.callerTimeout().orElse(route.timeout());
    Duration timeLimit = requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
    long deadlineNanos = request.receivedNanos() + timeLimit.toNanos();
    if (!state.accepts(Duration.ofNanos(deadlineNanos - nanoTime.getAsLong()))) {
      refuse(
          caller,
          request,
          description,
          new Refusal(Refusal.Reason.STOPPING, state.drainRetryDelay()));
      return null;
    }
    String service = route.pickService(state.nextRandom());
    RequestLifecycle lifecycle =
        new RequestLifecycle(route, service, description.lastEventId(), budget);
    Exchange exchange =
        new Exchange(
            new Exchange.Context(
                state,
                protocol,
                links,
                loop,
                replicas,
                writer,
                nanoTime,
                crashDetector,
                unanswered,
                log),
            caller,
            request,
            description,
            lifecycle,
            organisation,
            deadlineNanos);
    exchange.begin();
    return exchange.ended() ? null : exchange;
  }
}
