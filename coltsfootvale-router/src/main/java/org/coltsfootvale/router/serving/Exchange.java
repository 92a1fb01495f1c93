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
import org.coltsfootvale.core.course.RequestCourse;
import org.coltsfootvale.core.course.RequestDescription;
import org.coltsfootvale.core.dispatch.Refusal;
import org.coltsfootvale.core.dispatch.ReplicaState;
import org.coltsfootvale.core.dispatch.ServiceDispatcher;
import org.coltsfootvale.core.dispatch.Work;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.routing.Organisation;
import org.coltsfootvale.router.http.AnswerReceiver;
import org.coltsfootvale.router.http.ReplicaLink;
import org.coltsfootvale.router.http.ReplicaLinks;
import org.coltsfootvale.router.http.ServingLoop;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its start to its final answer. Carries out what the course of the
 * request decides. Confined to the serving loop.
 */
final class Exchange extends Work {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** What an exchange works with. */
  record Surroundings(
      ServingState state,
      CallerProtocol protocol,
      ReplicaLinks links,
      ServingLoop loop,
      AnswerWriter writer,
      LongSupplier nanoTime) {}

  private final Surroundings with;
  private final CallerConnection caller;
  private final IncomingBody request;
  private final RequestCourse course;
  private final Optional<Organisation> organisation;
  private final ServiceDispatcher dispatcher;
  private @Nullable Attempt attempt;
  private @Nullable Future<?> timeOver;
  private boolean waiting;
  private boolean ended;
  private boolean headDelivered;

  Exchange(
      Surroundings with,
      CallerConnection caller,
      IncomingBody request,
      RequestDescription description,
      RequestCourse course,
      Optional<Organisation> organisation,
      long deadlineNanos) {
    super(
        description,
        urgency(course, organisation),
        request.begunNanos(),
        deadlineNanos,
        course.route().goal().toNanos());
    this.with = with;
    this.caller = caller;
    this.request = request;
    this.course = course;
    this.organisation = organisation;
    this.dispatcher = with.state().dispatcher(course.service());
  }

  private static int urgency(RequestCourse course, Optional<Organisation> organisation) {
    return organisation
        .map(Organisation::priority)
        .filter(OptionalInt::isPresent)
        .map(OptionalInt::getAsInt)
        .orElse(course.route().priority());
  }

  /** Starts the timer of the request and asks for a replica. */
  void begin() {
    with.state().requestBegun();
    long leftNanos = deadlineNanos() - with.nanoTime().getAsLong();
    timeOver =
        with.loop()
            .eventLoop()
            .schedule(this::onTimeOver, Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
    place();
  }

  /** Returns whether the request has its final answer. */
  boolean ended() {
    return ended;
  }

  /** Returns the course of the request. */
  RequestCourse course() {
    return course;
  }

  private void place() {
    waiting = true;
    dispatcher.submit(this);
  }

  @Override
  protected void onPlaced(ReplicaState replica, Optional<HostPort> cacheSource) {
    waiting = false;
    Attempt started = new Attempt(replica, cacheSource);
    attempt = started;
    started.begin();
  }

  @Override
  protected void onTurnedAway(Refusal refusal) {
    waiting = false;
    if (course.answerBegun()) {
      breakOff();
    } else if (course.mayHaveRun()) {
      fail(HttpResponseStatus.BAD_GATEWAY);
    } else {
      refuse(refusal);
    }
  }

  /** Takes note that the caller has closed its connection: its work is of no use any more. */
  void onCallerGone() {
    end();
  }

  /** Slows the replica down while the caller reads slowly. */
  void onCallerWritable(boolean writable) {
    if (attempt != null && attempt.link != null) {
      attempt.link.reading(writable);
    }
  }

  private void onTimeOver() {
    if (!ended) {
      follow(course.onTimeOver(), HttpResponseStatus.GATEWAY_TIMEOUT);
    }
  }

  private void follow(NextStep step, HttpResponseStatus failure) {
    leaveAttempt();
    switch (step) {
      case SEND_AGAIN, RESUME -> place();
      case REFUSE -> refuse(new Refusal(Refusal.Reason.REJECTED, dispatcher.retryAfter()));
      case FAIL, DELIVER -> fail(failure);
      case BREAK_OFF -> breakOff();
    }
  }

  private void refuse(Refusal refusal) {
    end();
    with.writer().refuse(caller, refusal);
  }

  private void fail(HttpResponseStatus status) {
    end();
    with.writer().fail(caller, status);
  }

  private void breakOff() {
    end();
    caller.breakOff();
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    with.state().requestEnded();
    if (timeOver != null) {
      timeOver.cancel(false);
    }
    if (waiting) {
      waiting = false;
      dispatcher.withdraw(this);
    }
    leaveAttempt();
    request.release();
  }

  /** Ends the attempt in progress, and the replica's work on it. */
  private void leaveAttempt() {
    Attempt left = attempt;
    attempt = null;
    if (left != null) {
      left.leave();
    }
  }

  private FullHttpRequest requestFor(ReplicaState replica, Optional<HostPort> cacheSource) {
    HttpRequest head = request.head();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(head.headers());
    ConnectionHeaders.removeFrom(headers);
    long leftNanos = deadlineNanos() - with.nanoTime().getAsLong();
    with.protocol()
        .toReplica(
            headers,
            new ForwardFields(
                Duration.ofNanos(Math.max(0, leftNanos)),
                replica.replica().id(),
                organisation.map(Organisation::name),
                urgency(),
                course.lastEventId(),
                cacheSource));
    ByteBuf body = request.body().retainedDuplicate();
    if (body.isReadable() || !bodiless(head.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1, head.method(), head.uri(), body, headers, EmptyHttpHeaders.INSTANCE);
  }

  private static boolean bodiless(HttpMethod method) {
    return method.equals(HttpMethod.GET)
        || method.equals(HttpMethod.HEAD)
        || method.equals(HttpMethod.DELETE);
  }

  /** The request at one replica. */
  private final class Attempt implements AnswerReceiver {

    private final ReplicaState replica;
    private final Optional<HostPort> cacheSource;
    private final AnswerBody answer = new AnswerBody();
    private @Nullable ReplicaLink link;
    private @Nullable HttpResponse head;
    private @Nullable AnswerTraits traits;
    private @Nullable Future<?> silenceCheck;
    private boolean begun;
    private boolean left;
    private long heardNanos;

    Attempt(ReplicaState replica, Optional<HostPort> cacheSource) {
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
        replica.health().unreached();
        avoid(replica.replica().id());
        follow(course.onNotReached(), HttpResponseStatus.BAD_GATEWAY);
      } else {
        send(opened);
      }
    }

    private void send(ReplicaLink opened) {
      if (!dispatcher.uses(replica)) {
        opened.cancel();
        follow(course.onNotReached(), HttpResponseStatus.BAD_GATEWAY);
        return;
      }
      link = opened;
      heardNanos = with.nanoTime().getAsLong();
      opened.send(requestFor(replica, cacheSource), this);
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
        replica.health().failed();
        lost("silent");
      } else {
        watchSilence();
      }
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
        replica.started(Exchange.this);
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
      AnswerTraits read = with.protocol().traits(response);
      heardNanos = with.nanoTime().getAsLong();
      if (read.requestId().filter(id -> !id.equals(description().requestId())).isPresent()) {
        return false;
      }
      head = response;
      traits = read;
      read.load().ifPresent(load -> dispatcher.reported(replica, load));
      if (link != null) {
        read.keepAlive().ifPresent(link::idleMax);
      }
      answer.begin(course.route().streaming() && isSuccess(response), course.route().resumable());
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      heardNanos = with.nanoTime().getAsLong();
      answer.add(content);
      if (answer.overflows()) {
        lost("an answer larger than can be held");
        return;
      }
      if (answer.streamed() && genuineSuccess()) {
        deliverParts();
      }
    }

    private void deliverParts() {
      ByteBuf part = answer.nextPart();
      while (part.isReadable() && !left) {
        deliverPart(part);
        part = answer.nextPart();
      }
    }

    private void deliverPart(ByteBuf part) {
      if (!begun) {
        begun = true;
        replica.started(Exchange.this);
      }
      if (answer.byEvents() && repeated(part)) {
        return;
      }
      if (!headDelivered && head != null) {
        headDelivered = true;
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
        avoid(replica.replica().id());
        finishAndFollow(course.onRejected());
      } else if (!isSuccess(response)) {
        onFailureAnswer(response);
      } else if (!genuineSuccess() || answer.cut()) {
        replica.health().failed();
        lost("an answer that is not whole or not the replica's own");
      } else {
        replica.health().succeeded();
        complete(response);
      }
    }

    private void onFailureAnswer(HttpResponse response) {
      int status = response.status().code();
      boolean serverFault = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
      if (serverFault) {
        replica.health().failed();
      }
      NextStep step = serverFault ? course.onFailureAnswer() : NextStep.DELIVER;
      if (step != NextStep.DELIVER) {
        avoid(replica.replica().id());
        finishAndFollow(step);
      } else if (course.answerBegun()) {
        finishAndFollow(NextStep.BREAK_OFF);
      } else if (promisesNotRun(status)) {
        // The status would promise the caller what the replica has not said.
        finishAndFollow(NextStep.FAIL);
      } else {
        complete(response);
      }
    }

    /** Follows a decision after a whole answer, so that its connection is kept. */
    private void finishAndFollow(NextStep step) {
      link = null;
      follow(step, HttpResponseStatus.BAD_GATEWAY);
    }

    private void complete(HttpResponse response) {
      link = null;
      ByteBuf body = answer.streamed() ? answer.none() : answer.takeBody();
      boolean parts = headDelivered;
      end();
      if (parts) {
        caller.writeEnd();
      } else {
        boolean headOnly = request.head().method().equals(HttpMethod.HEAD);
        with.writer().deliver(caller, response, body, headOnly);
      }
    }

    @Override
    public void onLost(boolean sent, Throwable cause) {
      if (left) {
        return;
      }
      if (!sent) {
        avoid(replica.replica().id());
        follow(course.onNotReached(), HttpResponseStatus.BAD_GATEWAY);
        return;
      }
      replica.health().failed();
      lost(String.valueOf(cause.getMessage()));
    }

    private void lost(String why) {
      LOGGER.atFine().log(
          "request %s has no whole answer of %s: %s",
          description().requestId(), replica.replica().id(), why);
      avoid(replica.replica().id());
      follow(course.onLost(), HttpResponseStatus.BAD_GATEWAY);
    }

    private boolean genuineSuccess() {
      return head != null && isSuccess(head) && traits != null && genuine(traits);
    }

    private boolean genuine(AnswerTraits read) {
      return read.genuine() && read.requestId().isPresent();
    }
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
