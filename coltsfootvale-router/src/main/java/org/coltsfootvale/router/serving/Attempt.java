package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.coltsfootvale.core.course.AnswerOwner;
import org.coltsfootvale.core.course.NextStep;
import org.coltsfootvale.core.course.RequestLifecycle;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.router.http.AnswerReceiver;
import org.coltsfootvale.router.http.ReplicaConnection;
import org.jspecify.annotations.Nullable;

/** One attempt to get a request answered by a replica. Confined to the serving loop. */
final class Attempt implements AnswerReceiver {

  private final Exchange exchange;
  private final RequestLifecycle lifecycle;
  private final Exchange.Context context;
  private final CallerConnection caller;
  private final ServiceDispatcher dispatcher;
  private final ReplicaState replica;
  private final Optional<HostPort> cacheSource;
  private final AnswerRoom room;
  private final AnswerBody answer;
  private final SilenceWatch silence;
  private final AttemptEvidence evidence;
  private @Nullable ReplicaConnection link;
  private @Nullable HttpResponse head;
  private @Nullable AnswerMetadata answerMetadata;
  private final boolean continuation;
  private boolean begun;
  private boolean delivered;
  private boolean ended;

  /**
   * Creates an attempt, not yet begun, at a replica whose slot is counted already.
   *
   * @param cacheSource a replica that it fetches prompt parts from, if any
   */
  Attempt(
      Exchange exchange,
      RequestLifecycle lifecycle,
      Exchange.Context context,
      CallerConnection caller,
      ReplicaState replica,
      Optional<HostPort> cacheSource) {
    this.exchange = exchange;
    this.lifecycle = lifecycle;
    this.context = context;
    this.caller = caller;
    this.dispatcher = context.state().dispatcher(lifecycle.service());
    this.replica = replica;
    this.cacheSource = cacheSource;
    this.continuation = lifecycle.answerBegun();
    this.room = caller.answerRoom();
    this.answer = new AnswerBody(room);
    room.onMemoryNeeded(this::onMemoryNeeded);
    this.silence = new SilenceWatch(context.loop(), context.nanoTime());
    this.evidence = new AttemptEvidence(this, context, replica, exchange.partKeys());
  }

  void begin() {
    evidence.onBegun();
    // On a new connection, an answer is the request's own even if neither bears an id.
    ReplicaConnection pooled =
        exchange.description().requestId().isEmpty()
            ? null
            : context.links().acquire(replica, !lifecycle.route().repeatable());
    if (pooled != null) {
      send(pooled);
    } else {
      context.links().connect(replica, this::onConnected);
    }
  }

  private void onConnected(@Nullable ReplicaConnection opened, @Nullable Throwable failure) {
    if (ended) {
      if (opened != null) {
        opened.cancel();
      }
    } else if (opened == null) {
      replica.onConnectionRefused();
      suspend(String.valueOf(failure));
      exchange.exclude(replicaId());
      notReached("no connection");
    } else {
      send(opened);
    }
  }

  private void send(ReplicaConnection opened) {
    link = opened;
    room.setLink(opened);
    if (context.state().laggingOrBlocked()) {
      // The caller may have disconnected while its request or this connection waited for the loop.
      context.loop().afterNextRead(() -> sendUnlessEnded(opened));
    } else {
      sendUnlessEnded(opened);
    }
  }

  private void sendUnlessEnded(ReplicaConnection opened) {
    if (ended || exchange.endIfNoLongerAdmitted()) {
      return;
    }
    boolean accepts = dispatcher.uses(replica) && !replica.paused() && !replica.evacuated();
    if (!accepts || !replica.admitSend(exchange)) {
      notReached("the replica accepts no new requests");
      return;
    }
    silence.onReceived();
    exchange.prepareFor(replica, cacheSource).ifPresent(request -> opened.send(request, this));
    watchForSilence();
  }

  /** Watches for silence if another replica may get the request. */
  private void watchForSilence() {
    boolean resendable = lifecycle.route().repeatable() || lifecycle.route().resumable();
    if (!ended && resendable && lifecycle.sends() < lifecycle.route().attemptsMax()) {
      silence.start(SilenceTimeout.of(lifecycle.route()), this::onSilent);
    }
  }

  private void onSilent() {
    if (room.waiting()) {
      silence.onReceived();
      watchForSilence();
    } else if (!ended) {
      replica.health().onFailure();
      lost("silent");
    }
  }

  String replicaId() {
    return replica.replica().id();
  }

  private void suspend(String cause) {
    exchange.log().replicaSuspended(replicaId(), replica.health().onConnectionFailure(), cause);
  }

  private void notReached(String cause) {
    exchange.carryOut(lifecycle.onConnectionFailure(), HttpResponseStatus.BAD_GATEWAY, cause);
  }

  void end() {
    ended = true;
    silence.stop();
    evidence.onEnded();
    if (link != null) {
      link.cancel();
    }
    releaseReplica();
  }

  private void releaseReplica() {
    if (!begun) {
      begun = true;
      replica.onAnswerStarted(exchange);
    }
    answer.release();
    replica.onAttemptEnded(exchange);
    dispatcher.release(replica);
  }

  @Override
  public boolean bearsRequestId(String headerName) {
    return context.protocol().bearsRequestId(headerName);
  }

  @Override
  public void beforeSend() {
    lifecycle.onSent();
  }

  @Override
  public AnswerOwner onHead(HttpResponse response, boolean soleRequest) {
    AnswerMetadata read = context.protocol().answerMetadata(response);
    AnswerOwner owner =
        AnswerOwner.of(exchange.description().requestId(), read.requestId(), soleRequest);
    silence.onReceived();
    if (owner == AnswerOwner.UNKNOWN) {
      return owner;
    }
    exchange.applyHints(replica, response, read);
    if (owner == AnswerOwner.OTHER_REQUEST) {
      return owner;
    }
    head = response;
    answerMetadata = read;
    read.load().ifPresent(load -> dispatcher.onLoadReport(replica, load));
    if (link != null) {
      read.keepAlive().ifPresent(link::setIdleTimeout);
    }
    answer.begin(
        response,
        lifecycle.route().streaming() && AnswerStatus.isSuccess(response),
        lifecycle.route().resumable() || AnswerStatus.isEventStream(response));
    return owner;
  }

  @Override
  public void onFieldBytes(long bytes) {
    if (!ended && !room.admitFields(bytes)) {
      lost("there is no memory for the head or the trailers of the answer");
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    room.onProgress();
    answer.add(content);
    if (!answer.byEvents()) {
      silence.onReceived();
    }
    if (answer.streamed() && authenticSuccess()) {
      deliverParts();
    }
    if (!ended && answer.overflows()) {
      replica.health().onFailure();
      lost("answer or event exceeds its maximum size");
    }
  }

  private void deliverParts() {
    ByteBuf part = answer.nextPart();
    while (part.isReadable() && !ended) {
      silence.onReceived();
      deliverPart(part);
      part = answer.nextPart();
    }
    caller.flush();
    if (!ended) {
      answer.chargeRest();
    }
  }

  private void deliverPart(ByteBuf part) {
    if (!begun) {
      begun = true;
      replica.onAnswerStarted(exchange);
    }
    evidence.onPart();
    if (continuation && EventSplitter.idOf(part).isEmpty()) {
      replica.health().onFailure();
      lost("a part without an id is no continuation of the stream");
      return;
    }
    boolean first = !lifecycle.answerBegun();
    if (lifecycle.route().resumable() && exchange.alreadyDelivered(part)) {
      return;
    }
    delivered = true;
    if (first && head != null) {
      context.writer().deliverHead(caller, head);
    }
    lifecycle.onDelivered();
    caller.writeContent(part);
    if (!caller.writable()) {
      room.setCallerReads(false);
    }
  }

  @Override
  public void onEnd() {
    HttpResponse response = head;
    if (ended || response == null || answerMetadata == null) {
      return;
    }
    if (answerMetadata.notRun()) {
      if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        suspend("another replica answered at its address");
      }
      exchange.exclude(replicaId());
      finishAndCarryOut(lifecycle.onRejected(), "rejected with status " + response.status().code());
    } else if (!AnswerStatus.isSuccess(response)) {
      onFailureAnswer(response);
    } else if (!authenticSuccess() || answer.truncated() || endedBeforeFirstEvent(response)) {
      replica.health().onFailure();
      if (AnswerStatus.endsWithConnection(response)) {
        evidence.onLost();
      }
      lost("answer is incomplete or not authentic");
    } else {
      replica.health().onSuccess();
      evidence.onAnswered();
      complete(response);
    }
  }

  private void onFailureAnswer(HttpResponse response) {
    int status = response.status().code();
    boolean serverFault = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    if (serverFault) {
      replica.health().onFailure();
    }
    String answered = "answered with status " + status;
    NextStep step = serverFault ? lifecycle.onFailureAnswer() : NextStep.DELIVER;
    if (step != NextStep.DELIVER) {
      exchange.exclude(replicaId());
      finishAndCarryOut(step, answered);
    } else if (lifecycle.answerBegun()) {
      finishAndCarryOut(NextStep.BREAK_OFF, answered);
    } else if (AnswerStatus.promisesNotRun(status)) {
      // The status would state that the request has not run, which the replica has not stated.
      finishAndCarryOut(NextStep.FAIL, answered);
    } else {
      complete(response);
    }
  }

  /** Carries out a decision after a complete answer, so that its connection can be reused. */
  private void finishAndCarryOut(NextStep step, String cause) {
    link = null;
    exchange.carryOut(step, HttpResponseStatus.BAD_GATEWAY, cause);
  }

  private void complete(HttpResponse response) {
    link = null;
    exchange.complete(response, answer.streamed() ? answer.empty() : answer.takeBody());
  }

  @Override
  public void onAnswerLost(boolean sent, Throwable cause) {
    room.checkForOutOfMemory(cause);
    if (ended) {
      return;
    }
    if (!sent) {
      replica.onNotSent(exchange);
      exchange.exclude(replicaId());
      notReached("connection closed before the request was sent");
      return;
    }
    replica.health().onFailure();
    evidence.onLost();
    lost(String.valueOf(cause.getMessage()));
  }

  /** Returns whether a stream without framing, or a continuation, has ended without an event. */
  private boolean endedBeforeFirstEvent(HttpResponse response) {
    return answer.byEvents()
        && (continuation ? !delivered : !begun && AnswerStatus.endsWithConnection(response));
  }

  /** Returns whether the prompt has a part. */
  boolean hasPart(String partKey) {
    return exchange.partKeys().contains(partKey);
  }

  /** Ends the attempt, as a part of its prompt crashes replicas. */
  void onQuarantined() {
    String cause = "the prompt was put into quarantine";
    if (lifecycle.mayHaveRun()) {
      lost(cause);
    } else {
      notReached(cause);
    }
  }

  private void lost(String cause) {
    exchange.exclude(replicaId());
    exchange.carryOut(lifecycle.onAnswerLost(), HttpResponseStatus.BAD_GATEWAY, cause);
  }

  private boolean authenticSuccess() {
    return head != null
        && AnswerStatus.isSuccess(head)
        && answerMetadata != null
        && answerMetadata.authentic()
        && answerMetadata.requestId().isPresent();
  }

  /** Records that the deadline of the request has passed before its answer was complete. */
  void onTimeout() {
    if (link != null && !room.waiting()) {
      replica.health().onFailure();
    }
  }

  /** Ends an answer that makes no progress, as there is no memory for others. */
  void onMemoryNeeded() {
    if (!ended) {
      lost("the answer made no progress, and its memory was needed for others");
    }
  }

  /** Pauses or resumes reading from the replica. */
  void setReading(boolean on) {
    room.setCallerReads(on);
  }
}
