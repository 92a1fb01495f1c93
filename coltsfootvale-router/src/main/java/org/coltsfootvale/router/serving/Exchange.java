package org.coltsfootvale.router.serving;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.coltsfootvale.core.course.NextStep;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.course.RequestLifecycle;
import org.coltsfootvale.core.decision.DecisionLog;
import org.coltsfootvale.core.dispatch.DispatchRequest;
import org.coltsfootvale.core.dispatch.Placement;
import org.coltsfootvale.core.dispatch.Refusal;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.replica.ReplicaTable;
import org.coltsfootvale.core.routing.Organisation;
import org.coltsfootvale.core.routing.Route;
import org.coltsfootvale.core.routing.RoutingState;
import org.coltsfootvale.router.http.ReplicaConnectionPool;
import org.coltsfootvale.router.http.ServingLoop;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its start to its final answer. Carries out the decisions of its
 * {@link RequestLifecycle}. Confined to the serving loop.
 */
final class Exchange extends DispatchRequest {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The collaborators of an exchange. */
  record Context(
      ServingState state,
      CallerProtocol protocol,
      ReplicaConnectionPool links,
      ServingLoop loop,
      ReplicaTable replicas,
      AnswerWriter writer,
      LongSupplier nanoTime,
      ReplicaCrashDetector crashDetector,
      UnansweredAttempts unanswered,
      DecisionLog log) {}

  private final Context context;
  private final CallerConnection caller;
  private final IncomingRequest request;
  private final RequestLifecycle lifecycle;
  private final ServiceDispatcher dispatcher;
  private final ExchangeLog log;

  /** The desired state that has last admitted the request. */
  private Optional<RoutingState> admittedBy;

  /** The organisation that holds the key by that desired state. */
  private Optional<Organisation> organisation;

  private @Nullable Attempt attempt;

  private @Nullable Future<?> timeoutTask;
  private boolean waiting;
  private boolean ended;

  Exchange(
      Context context,
      CallerConnection caller,
      IncomingRequest request,
      RequestDescription description,
      RequestLifecycle lifecycle,
      Optional<Organisation> organisation,
      long deadlineNanos) {
    super(
        description,
        urgency(lifecycle, organisation),
        request.receivedNanos(),
        deadlineNanos,
        lifecycle.route().goal().toNanos());
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.lifecycle = lifecycle;
    this.organisation = organisation;
    this.dispatcher = context.state().dispatcher(lifecycle.service());
    this.admittedBy = context.state().routing();
    this.log = new ExchangeLog(context.log(), context.nanoTime(), this, lifecycle);
  }

  private static int urgency(RequestLifecycle lifecycle, Optional<Organisation> organisation) {
    return organisation
        .map(Organisation::priority)
        .filter(OptionalInt::isPresent)
        .map(OptionalInt::getAsInt)
        .orElse(lifecycle.route().priority());
  }

  /** Starts the timer of the request and submits it for placement. */
  void begin() {
    context.state().requestBegun();
    log.accepted(organisation, context.state());
    long leftNanos = deadlineNanos() - context.nanoTime().getAsLong();
    timeoutTask =
        context
            .loop()
            .eventLoop()
            .schedule(this::onTimeout, Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
    place();
  }

  /** Returns whether the request has its final answer. */
  boolean ended() {
    return ended;
  }

  /** Returns the log of the decisions on the request. */
  ExchangeLog log() {
    return log;
  }

  private void place() {
    waiting = true;
    dispatcher.submit(this);
  }

  @Override
  protected void onQueued(int position, int queueLength) {
    log.queued(position, queueLength, dispatcher);
  }

  @Override
  protected void onPlaced(Placement placement) {
    waiting = false;
    log.placed(placement);
    Attempt started =
        new Attempt(this, lifecycle, context, caller, placement.replica(), placement.cacheSource());
    attempt = started;
    started.begin();
  }

  @Override
  protected void onRefused(Refusal refusal) {
    waiting = false;
    if (lifecycle.answerBegun()) {
      breakOff();
    } else if (lifecycle.mayHaveRun()) {
      fail(HttpResponseStatus.BAD_GATEWAY);
    } else {
      refuse(refusal);
    }
  }

  /**
   * Ends the exchange after the caller has closed its connection, as its answer is of no use any
   * more.
   */
  void onCallerDisconnected() {
    if (!ended) {
      log.abandoned();
    }
    end();
  }

  /** Pauses reading from the replica while the caller reads slowly. */
  void onCallerWritable(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  /** Ends the request with its final answer before this router stops. */
  void onRouterStopping() {
    if (!ended) {
      carryOut(
          lifecycle.onDeadlineExceeded(), HttpResponseStatus.GATEWAY_TIMEOUT, "the router stops");
    }
  }

  private void onTimeout() {
    if (!ended) {
      if (attempt != null) {
        attempt.onTimeout();
      }
      carryOut(lifecycle.onDeadlineExceeded(), HttpResponseStatus.GATEWAY_TIMEOUT, "time over");
    }
  }

  /**
   * Applies the desired state in force: ends the exchange if it no longer admits the request;
   * returns whether it did. The key may be withdrawn, or another organisation may hold it, while
   * the request waits for a replica, for a connection or for its repetition. A stream that has
   * begun is continued, as a change of the desired state cuts no answer off.
   */
  boolean endIfNoLongerAdmitted() {
    Optional<RoutingState> inForce = context.state().routing();
    if (inForce.equals(admittedBy)) {
      return false;
    }
    if (lifecycle.answerBegun() || inForce.map(this::admits).orElse(false)) {
      admittedBy = inForce;
      updateOrganisation();
      return false;
    }
    if (lifecycle.mayHaveRun()) {
      fail(HttpResponseStatus.BAD_GATEWAY);
    } else {
      log.denied(HttpResponseStatus.UNAUTHORIZED, context.state());
      end();
      context.writer().fail(caller, HttpResponseStatus.UNAUTHORIZED);
    }
    return true;
  }

  private void updateOrganisation() {
    Optional<Organisation> holder =
        admittedBy.flatMap(routing -> description().key().flatMap(routing::organisationOf));
    boolean continuesWithdrawn = holder.isEmpty() && lifecycle.answerBegun();
    if (!continuesWithdrawn) {
      organisation = holder;
    }
  }

  private boolean admits(RoutingState routing) {
    HttpRequest head = request.head();
    Route route =
        routing
            .route(head.headers().get(HttpHeaderNames.HOST, ""), head.uri())
            .orElse(lifecycle.route());
    return routing.admits(route, description().key());
  }

  /** Carries out the decision of the lifecycle after an attempt has ended. */
  void carryOut(NextStep step, HttpResponseStatus failure, String cause) {
    log.attemptFailed(attempt == null ? "" : attempt.replicaId(), cause, step);
    endAttempt();
    switch (step) {
      case SEND_AGAIN, RESUME -> place();
      case REFUSE -> refuse(new Refusal(Refusal.Reason.REJECTED, dispatcher.retryDelay()));
      case FAIL, DELIVER -> fail(failure);
      case BREAK_OFF -> breakOff();
      default -> throw new IllegalStateException("unknown step " + step);
    }
  }

  /** Delivers the answer of a replica, or the end of one that was delivered in parts. */
  void complete(HttpResponse response, ByteBuf body) {
    boolean inParts = lifecycle.answerBegun();
    log.completed(response.status());
    end();
    if (inParts) {
      caller.writeEnd();
    } else {
      boolean headOnly = request.head().method().equals(HttpMethod.HEAD);
      context.writer().deliver(caller, response, body, headOnly);
    }
  }

  private void refuse(Refusal refusal) {
    log.refused(refusal, dispatcher, context.state().quarantine());
    end();
    context.writer().refuse(caller, refusal);
  }

  private void fail(HttpResponseStatus status) {
    log.failed(status);
    end();
    context.writer().fail(caller, status);
  }

  private void breakOff() {
    log.brokenOff();
    end();
    caller.abort();
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    context.state().requestEnded();
    if (timeoutTask != null) {
      timeoutTask.cancel(false);
    }
    if (waiting) {
      waiting = false;
      dispatcher.cancel(this);
    }
    endAttempt();
    request.release();
  }

  /** Ends the attempt in progress, and cancels the replica's work on it. */
  private void endAttempt() {
    Attempt current = attempt;
    attempt = null;
    if (current != null) {
      current.end();
    }
  }

  /** Applies what the answer of a replica, of any status, states about further requests. */
  void applyHints(ReplicaState replica, HttpResponse response, AnswerMetadata metadata) {
    if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      // Another replica answers at the address.
      return;
    }
    String replicaId = replica.replica().id();
    if (metadata.leaving()) {
      context.replicas().onDepartureAnnounced(replicaId, replica.replica().startedMillis());
    }
    metadata
        .pause()
        .ifPresent(
            wanted -> log.replicaPaused(replicaId, wanted, dispatcher.pause(replica, wanted)));
  }

  /** Returns the request to send to a replica; empty if that failed and has ended the exchange. */
  Optional<FullHttpRequest> prepareFor(ReplicaState replica, Optional<HostPort> cacheSource) {
    try {
      return Optional.of(requestFor(replica, cacheSource));
    } catch (RuntimeException e) {
      // Passed on, it would leave the request without an answer until its deadline.
      LOGGER.atSevere().withCause(e).log(
          "request %s could not be prepared for a replica", description().requestId());
      replica.onNotSent(this);
      onRefused(new Refusal(Refusal.Reason.NOT_PREPARED, dispatcher.retryDelay()));
      return Optional.empty();
    }
  }

  private FullHttpRequest requestFor(ReplicaState replica, Optional<HostPort> cacheSource) {
    HttpRequest head = request.head();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(head.headers());
    ConnectionHeaders.removeFrom(headers);
    long leftNanos = deadlineNanos() - context.nanoTime().getAsLong();
    context
        .protocol()
        .toReplica(
            headers,
            new ForwardFields(
                Duration.ofNanos(Math.max(0, leftNanos)),
                replica.replica().id(),
                organisation.map(Organisation::name),
                urgency(),
                lifecycle.lastEventId(),
                cacheSource));
    ByteBuf body = request.body().retainedDuplicate();
    if (body.isReadable() || !bodiless(head.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, head.method(), head.uri(), body, headers, EmptyHttpHeaders.INSTANCE);
  }

  /** Returns whether the caller already has an event; otherwise counts it as delivered. */
  boolean alreadyDelivered(ByteBuf event) {
    OptionalLong id = EventSplitter.idOf(event);
    if (id.isEmpty()) {
      return false;
    }
    boolean duplicate =
        lifecycle.lastEventId().isPresent()
            && id.getAsLong() <= lifecycle.lastEventId().getAsLong();
    if (!duplicate) {
      lifecycle.onEventDelivered(id.getAsLong());
    }
    return duplicate;
  }

  private static boolean bodiless(HttpMethod method) {
    return method.equals(HttpMethod.GET)
        || method.equals(HttpMethod.HEAD)
        || method.equals(HttpMethod.DELETE);
  }
}
