package org.coltsfootvale.router.request;

import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.coltsfootvale.core.admission.AdmissionController;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.placement.CacheHint;
import org.coltsfootvale.core.placement.PlacementRequest;
import org.coltsfootvale.core.placement.Reservation;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.retry.AttemptFailure;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.coltsfootvale.core.retry.RequestTraits;
import org.coltsfootvale.core.retry.RetryDecision;
import org.coltsfootvale.router.backend.AttemptFailedException;
import org.coltsfootvale.router.backend.EngineChunk;
import org.coltsfootvale.router.backend.EngineClient.EngineRequest;
import org.coltsfootvale.router.backend.SendGate;
import org.jspecify.annotations.Nullable;

/** The course of one chat: admission, placement, attempts at engines, retries and resumes. */
final class ChatCourse {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int FRUITLESS_RESUMES_MAX = 2;

  private final ChatService.Collaborators with;
  private final IncomingRequest request;
  private final ChatRequest chat;
  private final boolean repeatable;
  private final Runnable beforeSend;
  private final ChatOutput output;
  private final Set<EngineId> excluded = new HashSet<>();
  private final long startedNanos;
  private long lastChunkNanos;
  private int engines;
  private int attempts;
  private int chunksReceived;
  private int fruitlessResumes;
  private int outputTokens;
  private boolean finished;
  private boolean mayHaveRun;
  private @Nullable AttemptFailedException lastFailure;

  ChatCourse(
      ChatService.Collaborators with,
      IncomingRequest request,
      ChatRequest chat,
      boolean repeatable,
      Runnable beforeSend,
      ChatOutput output) {
    this.with = with;
    this.request = request;
    this.chat = chat;
    this.repeatable = repeatable;
    this.beforeSend = beforeSend;
    this.output = output;
    this.startedNanos = with.metrics().nanoTime();
  }

  /** Serves the chat; returns when the answer is whole. */
  void run() {
    with.retryPolicy().requestStarted();
    AdmissionController.Permit permit =
        with.admission()
            .admit(
                request.organisation(),
                chat.requestClass(),
                (long) chat.promptTokens() + chat.outputTokens());
    try {
      runAtEngines();
      output.end();
    } catch (ColtsfootvaleException e) {
      throw Outcomes.overAllAttempts(e, mayHaveRun);
    } finally {
      permit.finish(mayHaveRun || finished ? (long) chat.promptTokens() + outputTokens : 0);
    }
  }

  private void runAtEngines() {
    boolean whole = false;
    while (!whole) {
      checkDeadline();
      Reservation reservation = select();
      try {
        whole = runAt(reservation);
      } finally {
        reservation.release();
      }
    }
  }

  private void checkDeadline() {
    if (!with.clock().instant().isBefore(request.deadline())) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the chat could be sent");
    }
  }

  private Reservation select() {
    try {
      return with.selector().select(placementRequest());
    } catch (ColtsfootvaleException e) {
      throw lastFailure == null ? e : lastFailure;
    }
  }

  private PlacementRequest placementRequest() {
    return new PlacementRequest(
        request.organisation(),
        chat.model(),
        chat.requestClass(),
        chat.chat(),
        chat.promptTokens(),
        chat.outputTokens(),
        chat.hint(),
        excluded);
  }

  /** Returns true if the answer is whole, false if another engine is to be tried. */
  private boolean runAt(Reservation reservation) {
    EngineId id = reservation.engine();
    @Nullable EngineSpec engine = with.fleet().get().engines().get(id);
    if (engine == null) {
      excluded.add(id);
      return false;
    }
    String attemptId = request.requestId() + "-" + ++engines;
    boolean ended = false;
    try {
      ended = runWithResumes(reservation, engine, attemptId);
      return ended;
    } finally {
      if (!ended && mayHaveRun) {
        with.engines().cancel(engine.address(), attemptId);
      }
    }
  }

  private boolean runWithResumes(Reservation reservation, EngineSpec engine, String attemptId) {
    boolean resume = false;
    while (true) {
      int chunksBefore = chunksReceived;
      @Nullable AttemptFailedException failed = attempt(reservation, engine, attemptId, resume);
      if (failed == null) {
        with.breakers().onSuccess(engine.id().value());
        return true;
      }
      if (resume && chunksReceived == chunksBefore) {
        fruitlessResumes++;
      }
      RetryDecision decision = decide(engine.id(), failed);
      if (decision instanceof RetryDecision.Resume wait) {
        with.metrics().resumed();
        pause(wait.delay());
        resume = true;
      } else {
        goElsewhere(engine.id(), decision, failed);
        return false;
      }
    }
  }

  private void goElsewhere(EngineId engine, RetryDecision decision, AttemptFailedException failed) {
    if (decision instanceof RetryDecision.GiveUp giveUp) {
      throw giveUp.error();
    }
    if (output.delivered()) {
      throw failed;
    }
    with.metrics().retried();
    excluded.add(engine);
    output.restart();
    chunksReceived = 0;
    fruitlessResumes = 0;
    if (decision instanceof RetryDecision.Failover wait) {
      pause(wait.delay());
    }
  }

  private void pause(Duration delay) {
    Duration left = Duration.between(with.clock().instant(), request.deadline());
    Duration wait = delay.compareTo(left) < 0 ? delay : left;
    if (!wait.isNegative() && !wait.isZero()) {
      with.pause().await(wait);
    }
  }

  private RetryDecision decide(EngineId engine, AttemptFailedException failed) {
    lastFailure = failed;
    report(engine, failed);
    boolean resumable = chunksReceived > 0 && fruitlessResumes < FRUITLESS_RESUMES_MAX;
    RequestTraits traits = new RequestTraits(repeatable, resumable, request.deadline());
    return with.retryPolicy().decide(traits, attempts, asSeenByCaller(failed.failure(), resumable));
  }

  /** A partial answer that the caller has not seen and that cannot be resumed may start afresh. */
  private AttemptFailure asSeenByCaller(AttemptFailure failure, boolean resumable) {
    if (failure.stage() != Stage.PARTIAL || resumable || output.delivered()) {
      return failure;
    }
    return new AttemptFailure(Stage.SENT, failure.kind(), failure.detail(), failure.retryAfter());
  }

  private void report(EngineId engine, AttemptFailedException failed) {
    Stage stage = failed.failure().stage();
    with.metrics().attemptFailed(failed.failure());
    if (stage == Stage.REFUSED) {
      with.breakers().onSuccess(engine.value());
    } else {
      with.breakers().onFailure(engine.value());
    }
    if (failed.leaving()) {
      with.membership().onEngineLeaving(engine);
    }
    if (stage == Stage.NOT_SENT) {
      with.membership().onEngineSilent(engine);
    }
  }

  /** Returns null if the answer is whole. */
  private @Nullable AttemptFailedException attempt(
      Reservation reservation, EngineSpec engine, String attemptId, boolean resume) {
    attempts++;
    SendGate gate = new SendGate(beforeSend);
    try {
      with.engines()
          .run(
              engineRequest(reservation, engine, attemptId, resume),
              gate,
              (chunk, json) -> take(reservation, chunk, json));
      if (finished) {
        return null;
      }
      mayHaveRun = true;
      return new AttemptFailedException(
          chunksReceived > 0 ? Stage.PARTIAL : Stage.SENT,
          ErrorKind.BACKEND_FAILED,
          "the engine's answer ended without its last chunk",
          null);
    } catch (AttemptFailedException e) {
      mayHaveRun |= e.failure().stage() == Stage.SENT || e.failure().stage() == Stage.PARTIAL;
      return e;
    } catch (RuntimeException e) {
      mayHaveRun |= gate.passed();
      with.breakers().onSuccess(engine.id().value());
      throw e;
    }
  }

  private EngineRequest engineRequest(
      Reservation reservation, EngineSpec engine, String attemptId, boolean resume) {
    return new EngineRequest(
        engine.address(),
        attemptId,
        chat.engineBody(),
        request.organisation() + "/" + chat.chat(),
        chat.requestClass().priority(),
        request.deadline(),
        chunksReceived,
        resume,
        reservation.outstandingRequestsMax(),
        importFrom(reservation),
        request.headers().get(CallerHeaders.IDEMPOTENCY_KEY),
        resume || !repeatable);
  }

  private @Nullable URI importFrom(Reservation reservation) {
    @Nullable EngineId source = reservation.importFrom();
    if (source == null) {
      return null;
    }
    @Nullable EngineSpec engine = with.fleet().get().engines().get(source);
    return engine == null ? null : engine.address();
  }

  private void take(Reservation reservation, EngineChunk chunk, String json) {
    countChunk(reservation);
    int tokens = tokens(chunk.content());
    if (tokens > 0) {
      outputTokens += tokens;
      reservation.onGenerated(tokens);
    }
    boolean last = chunk.finishReason() != null;
    output.chunk(chunk, json, last ? continuation(reservation, chunk) : "");
    chunksReceived++;
    finished |= last;
  }

  private void countChunk(Reservation reservation) {
    long now = with.metrics().nanoTime();
    if (chunksReceived == 0) {
      reservation.onPrefilled();
      with.metrics().firstToken(now - startedNanos);
    } else {
      with.metrics().betweenTokens(now - lastChunkNanos);
    }
    lastChunkNanos = now;
  }

  private static int tokens(String text) {
    return (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
  }

  private String continuation(Reservation reservation, EngineChunk chunk) {
    int held = chat.promptTokens() + outputTokens;
    EngineChunk.@Nullable Usage usage = chunk.usage();
    if (usage != null) {
      held = usage.promptTokens() + usage.completionTokens();
      outputTokens = usage.completionTokens();
      with.metrics().promptTokens(usage.promptTokens(), usage.cachedTokens());
    }
    CacheHint hint =
        new CacheHint(
            reservation.engine(), reservation.engineIncarnation(), held, with.clock().instant());
    return with.tokens().issue(request.organisation(), chat.chat(), hint);
  }
}
