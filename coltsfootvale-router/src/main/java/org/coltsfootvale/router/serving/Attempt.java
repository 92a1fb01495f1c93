package org.coltsfootvale.router.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.core.course.NextStep;
import org.coltsfootvale.core.course.RequestLifecycle;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.router.http.AnswerReceiver;
import org.coltsfootvale.router.http.ReplicaLink;
import org.jspecify.annotations.Nullable;

/** One sending of a request to a replica, and its answer. Confined to the serving loop. */
final class Attempt implements AnswerReceiver {

  private final Exchange exchange;
  private final RequestLifecycle course;
  private final Exchange.Surroundings with;
  private final CallerConnection caller;
  private final ServiceDispatcher dispatcher;
  private final ReplicaState replica;
  private final Optional<HostPort> cacheSource;
  private final AnswerBody answer = new AnswerBody();
  private @Nullable ReplicaLink link;
  private @Nullable HttpResponse head;
  private @Nullable AnswerMetadata traits;
  private @Nullable Future<?> silenceCheck;
  private boolean begun;
  private boolean left;
  private long heardNanos;

  /**
   * Creates an attempt that has not begun.
   *
   * @param exchange the request
   * @param course its course
   * @param with what it works with
   * @param caller the caller's connection
   * @param replica the replica; its slot is counted already
   * @param cacheSource a replica that it fetches parts of the prompt from, if any
   */
  Attempt(
      Exchange exchange,
      RequestLifecycle course,
      Exchange.Surroundings with,
      CallerConnection caller,
      ReplicaState replica,
      Optional<HostPort> cacheSource) {
    this.exchange = exchange;
    this.course = course;
    this.with = with;
    this.caller = caller;
    this.dispatcher = with.state().dispatcher(course.service());
    this.replica = replica;
    this.cacheSource = cacheSource;
  }

  void begin() {
    boolean fresh = !course.route().repeatable();
    ReplicaLink kept = with.links().take(replica, fresh);
    if (kept != null) {
      send(kept);
    } else {
      with.links().connect(replica, this::onConnected);
    }
  }

  private void onConnected(@Nullable ReplicaLink opened, @Nullable Throwable failure) {
    if (left) {
      if (opened != null) {
        opened.cancel();
      }
    } else if (opened == null) {
      suspend(String.valueOf(failure));
      exchange.exclude(replicaId());
      notReached("no connection");
    } else {
      send(opened);
    }
  }

  private void send(ReplicaLink opened) {
    link = opened;
    if (with.state().behind()) {
      // The caller may have left while its request, or this connection, waited for the loop.
      with.loop().afterNextRead(() -> sendUnlessLeft(opened));
    } else {
      sendUnlessLeft(opened);
    }
  }

  private void sendUnlessLeft(ReplicaLink opened) {
    if (left) {
      return;
    }
    if (!dispatcher.uses(replica) || replica.paused()) {
      notReached("the replica takes no new requests any more");
      return;
    }
    heardNanos = with.nanoTime().getAsLong();
    opened.send(exchange.requestFor(replica, cacheSource), this);
    watchSilence();
  }

  /** Gives a silent replica up where the request may go on elsewhere. */
  private void watchSilence() {
    boolean movable = course.route().repeatable() || course.route().resumable();
    if (left || !movable || course.sends() >= course.route().attemptsMax()) {
      return;
    }
    long maxNanos = SilenceLimit.of(course.route()).toNanos();
    long restNanos = heardNanos + maxNanos - with.nanoTime().getAsLong();
    silenceCheck =
        with.loop()
            .eventLoop()
            .schedule(this::onSilenceCheck, Math.max(0, restNanos), TimeUnit.NANOSECONDS);
  }

  private void onSilenceCheck() {
    if (left) {
      return;
    }
    long silentNanos = with.nanoTime().getAsLong() - heardNanos;
    if (silentNanos >= SilenceLimit.of(course.route()).toNanos()) {
      replica.health().onFailure();
      lost("silent");
    } else {
      watchSilence();
    }
  }

  String replicaId() {
    return replica.replica().id();
  }

  private void suspend(String cause) {
    Duration pause = replica.health().onConnectionFailure();
    with.log()
        .record(
            Decision.of(DecisionEvent.REPLICA_SUSPENDED, exchange.description().requestId())
                .with("replica", replicaId())
                .with("pause_millis", pause.toMillis())
                .with("cause", cause));
  }

  private void notReached(String cause) {
    exchange.follow(course.onConnectionFailure(), HttpResponseStatus.BAD_GATEWAY, cause);
  }

  void leave() {
    left = true;
    if (silenceCheck != null) {
      silenceCheck.cancel(false);
    }
    if (link != null) {
      link.cancel();
    }
    settle();
  }

  private void settle() {
    if (!begun) {
      begun = true;
      replica.onAnswerStarted(exchange);
    }
    answer.release();
    dispatcher.release(replica);
  }

  @Override
  public void onSending() {
    course.onSent();
  }

  @Override
  public boolean onHead(HttpResponse response) {
    AnswerMetadata read = with.protocol().answerMetadata(response);
    heardNanos = with.nanoTime().getAsLong();
    takeWishes(response, read);
    if (read.requestId().filter(id -> !id.equals(exchange.description().requestId())).isPresent()) {
      return false;
    }
    head = response;
    traits = read;
    read.load().ifPresent(load -> dispatcher.onLoadReport(replica, load));
    if (link != null) {
      read.keepAlive().ifPresent(link::idleMax);
    }
    answer.begin(
        course.route().streaming() && isSuccess(response),
        course.route().resumable() || isEventStream(response));
    return true;
  }

  /** Takes what a replica says about further requests, in whatever answer it does. */
  private void takeWishes(HttpResponse response, AnswerMetadata read) {
    if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      // Another replica answers at the address.
      return;
    }
    if (read.leaving()) {
      with.replicas().onDepartureAnnounced(replicaId(), replica.replica().startedMillis());
    }
    read.pause().ifPresent(this::pause);
  }

  private void pause(Duration wanted) {
    Duration kept = dispatcher.pause(replica, wanted);
    with.log()
        .record(
            Decision.of(DecisionEvent.REPLICA_PAUSED, exchange.description().requestId())
                .with("replica", replicaId())
                .with("wanted_millis", wanted.toMillis())
                .with("pause_millis", kept.toMillis()));
  }

  @Override
  public void onContent(ByteBuf content) {
    answer.add(content);
    if (!answer.byEvents()) {
      heardNanos = with.nanoTime().getAsLong();
    }
    if (answer.streamed() && genuineSuccess()) {
      deliverParts();
    }
    if (!left && answer.overflows()) {
      replica.health().onFailure();
      lost("more bytes than an answer or an event may have");
    }
  }

  private void deliverParts() {
    ByteBuf part = answer.nextPart();
    while (part.isReadable() && !left) {
      heardNanos = with.nanoTime().getAsLong();
      deliverPart(part);
      part = answer.nextPart();
    }
    caller.flush();
  }

  private void deliverPart(ByteBuf part) {
    if (!begun) {
      begun = true;
      replica.onAnswerStarted(exchange);
    }
    boolean first = !course.answerBegun();
    if (course.route().resumable() && repeated(part)) {
      return;
    }
    if (first && head != null) {
      with.writer().deliverHead(caller, head);
    }
    course.onDelivered();
    caller.writeContent(part);
    if (link != null && !caller.writable()) {
      link.reading(false);
    }
  }

  /** Returns whether the caller already has an event; otherwise counts it as delivered. */
  private boolean repeated(ByteBuf event) {
    OptionalLong id = EventSplitter.idOf(event);
    if (id.isEmpty()) {
      return false;
    }
    boolean known =
        course.lastEventId().isPresent() && id.getAsLong() <= course.lastEventId().getAsLong();
    if (!known) {
      course.onEventDelivered(id.getAsLong());
    }
    return known;
  }

  @Override
  public void onEnd() {
    HttpResponse response = head;
    if (left || response == null || traits == null) {
      return;
    }
    if (traits.notRun()) {
      if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        suspend("another replica answers at its address");
      }
      exchange.exclude(replicaId());
      finishAndFollow(course.onRejected(), "rejected with status " + response.status().code());
    } else if (!isSuccess(response)) {
      onFailureAnswer(response);
    } else if (!genuineSuccess() || answer.cut()) {
      replica.health().onFailure();
      lost("an answer that is not whole or not the replica's own");
    } else {
      replica.health().onSuccess();
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
    NextStep step = serverFault ? course.onFailureAnswer() : NextStep.DELIVER;
    if (step != NextStep.DELIVER) {
      exchange.exclude(replicaId());
      finishAndFollow(step, answered);
    } else if (course.answerBegun()) {
      finishAndFollow(NextStep.BREAK_OFF, answered);
    } else if (promisesNotRun(status)) {
      // The status would promise the caller what the replica has not said.
      finishAndFollow(NextStep.FAIL, answered);
    } else {
      complete(response);
    }
  }

  /** Follows a decision after a whole answer, so that its connection is kept. */
  private void finishAndFollow(NextStep step, String cause) {
    link = null;
    exchange.follow(step, HttpResponseStatus.BAD_GATEWAY, cause);
  }

  private void complete(HttpResponse response) {
    link = null;
    exchange.complete(response, answer.streamed() ? answer.none() : answer.takeBody());
  }

  @Override
  public void onLost(boolean sent, Throwable cause) {
    if (left) {
      return;
    }
    if (!sent) {
      exchange.exclude(replicaId());
      notReached("the connection was gone before the request left");
      return;
    }
    replica.health().onFailure();
    lost(String.valueOf(cause.getMessage()));
  }

  private void lost(String why) {
    exchange.exclude(replicaId());
    exchange.follow(course.onAnswerLost(), HttpResponseStatus.BAD_GATEWAY, why);
  }

  private boolean genuineSuccess() {
    return head != null && isSuccess(head) && traits != null && genuine(traits);
  }

  private boolean genuine(AnswerMetadata read) {
    return read.authentic() && read.requestId().isPresent();
  }

  /** Takes note that the request's time is over before its answer is whole. */
  void timeOver() {
    if (link != null) {
      replica.health().onFailure();
    }
  }

  /** Slows the replica down or lets it go on. */
  void reading(boolean on) {
    if (link != null) {
      link.reading(on);
    }
  }

  private static boolean isEventStream(HttpResponse response) {
    return HttpUtil.getMimeType(response) != null
        && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
            HttpUtil.getMimeType(response));
  }

  private static boolean isSuccess(HttpResponse response) {
    int status = response.status().code();
    return status >= 200 && status < 300;
  }

  /** Returns whether a status tells callers that the request has not run and never will. */
  private static boolean promisesNotRun(int status) {
    return status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        || status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.REQUEST_TIMEOUT.code()
        || status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }
}
