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

/** Executes one chat: admission, placement, attempts at engines, retries and resumes. */
final class ChatExecution {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int UNPRODUCTIVE_RESUMES_MAX = 2;

  private final ChatService.Collaborators collaborators;
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
  private int unproductiveResumes;
  private int outputTokens;
  private boolean finished;
  private boolean mayHaveRun;
  private @Nullable AttemptFailedException lastFailure;

  ChatExecution(
      ChatService.Collaborators collaborators,
      IncomingRequest request,
      ChatRequest chat,
      boolean repeatable,
      Runnable beforeSend,
      ChatOutput output) {
    this.collaborators = collaborators;
    this.request = request;
    this.chat = chat;
    this.repeatable = repeatable;
    this.beforeSend = beforeSend;
    this.output = output;
    this.startedNanos = collaborators.metrics().nanoTime();
  }

  /** Serves the chat; returns when the answer is complete. */
  void run() {
    collaborators.retryPolicy().requestStarted();
    AdmissionController.Permit permit =
        collaborators
            .admission()
            .admit(
                request.organisation(),
                chat.requestClass(),
                (long) chat.promptTokens() + chat.outputTokens());
    try {
      runAtEngines();
      output.end();
    } catch (ColtsfootvaleException e) {
      throw Outcomes.afterAllAttempts(e, mayHaveRun);
    } finally {
      permit.finish(mayHaveRun || finished ? (long) chat.promptTokens() + outputTokens : 0);
    }
  }

  private void runAtEngines() {
    boolean complete = false;
    while (!complete) {
      checkDeadline();
      Reservation reservation = select();
      try {
        complete = runAt(reservation);
      } finally {
        reservation.release();
      }
    }
  }

  private void checkDeadline() {
    if (!collaborators.clock().instant().isBefore(request.deadline())) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.DEADLINE_EXCEEDED, "the deadline passed before the chat could be sent");
    }
  }

  private Reservation select() {
    try {
      return collaborators.selector().select(placementRequest());
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

  /** Returns true if the answer is complete, false if another engine must be tried. */
  private boolean runAt(Reservation reservation) {
    EngineId id = reservation.engine();
    @Nullable EngineSpec engine = collaborators.fleet().get().engines().get(id);
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
        collaborators.engines().cancel(engine.address(), attemptId);
      }
    }
  }

  private boolean runWithResumes(Reservation reservation, EngineSpec engine, String attemptId) {
    boolean resume = false;
    while (true) {
      int chunksBefore = chunksReceived;
      @Nullable AttemptFailedException failed = attempt(reservation, engine, attemptId, resume);
      if (failed == null) {
        collaborators.breakers().onSuccess(engine.id().value());
        return true;
      }
      if (resume && chunksReceived == chunksBefore) {
        unproductiveResumes++;
      }
      RetryDecision decision = recordAndDecide(engine.id(), failed);
      if (decision instanceof RetryDecision.Resume wait) {
        collaborators.metrics().resumed();
        awaitDelay(wait.delay());
        resume = true;
      } else {
        failOverOrThrow(engine.id(), decision, failed);
        return false;
      }
    }
  }

  private void failOverOrThrow(
      EngineId engine, RetryDecision decision, AttemptFailedException failed) {
    if (decision instanceof RetryDecision.GiveUp giveUp) {
      throw giveUp.error();
    }
    if (output.deliveryStarted()) {
      throw failed;
    }
    collaborators.metrics().retried();
    excluded.add(engine);
    output.reset();
    chunksReceived = 0;
    unproductiveResumes = 0;
    if (decision instanceof RetryDecision.Failover wait) {
      awaitDelay(wait.delay());
    }
  }

  private void awaitDelay(Duration delay) {
    Duration left = Duration.between(collaborators.clock().instant(), request.deadline());
    Duration wait = delay.compareTo(left) < 0 ? delay : left;
    if (!wait.isNegative() && !wait.isZero()) {
      collaborators.sleeper().await(wait);
    }
  }

  private RetryDecision recordAndDecide(EngineId engine, AttemptFailedException failed) {
    lastFailure = failed;
    report(engine, failed);
    boolean resumable = chunksReceived > 0 && unproductiveResumes < UNPRODUCTIVE_RESUMES_MAX;
    RequestTraits traits = new RequestTraits(repeatable, resumable, request.deadline());
    return collaborators
        .retryPolicy()
        .decide(traits, attempts, failureSeenByCaller(failed.failure(), resumable));
  }

  /** Allows a restart if the partial answer cannot be resumed and has not reached the caller. */
  private AttemptFailure failureSeenByCaller(AttemptFailure failure, boolean resumable) {
    if (failure.stage() != Stage.PARTIAL || resumable || output.deliveryStarted()) {
      return failure;
    }
    return new AttemptFailure(Stage.SENT, failure.kind(), failure.detail(), failure.retryAfter());
  }

  private void report(EngineId engine, AttemptFailedException failed) {
    Stage stage = failed.failure().stage();
    collaborators.metrics().attemptFailed(failed.failure());
    if (stage == Stage.REFUSED) {
      collaborators.breakers().onSuccess(engine.value());
    } else {
      collaborators.breakers().onFailure(engine.value());
    }
    if (failed.leaving()) {
      collaborators.membership().onEngineLeaving(engine);
    }
    if (stage == Stage.NOT_SENT) {
      collaborators.membership().onEngineSilent(engine);
    }
  }

  /** Returns the failure, or null if the answer is complete. */
  private @Nullable AttemptFailedException attempt(
      Reservation reservation, EngineSpec engine, String attemptId, boolean resume) {
    attempts++;
    SendGate gate = new SendGate(beforeSend);
    try {
      collaborators
          .engines()
          .run(
              engineRequest(reservation, engine, attemptId, resume),
              gate,
              (chunk, json) -> onChunk(reservation, chunk, json));
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
      collaborators.breakers().onSuccess(engine.id().value());
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
    @Nullable EngineSpec engine = collaborators.fleet().get().engines().get(source);
    return engine == null ? null : engine.address();
  }

  private void onChunk(Reservation reservation, EngineChunk chunk, String json) {
    recordChunk(reservation);
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

  private void recordChunk(Reservation reservation) {
    long now = collaborators.metrics().nanoTime();
    if (chunksReceived == 0) {
      reservation.onPrefilled();
      collaborators.metrics().firstToken(now - startedNanos);
    } else {
      collaborators.metrics().betweenTokens(now - lastChunkNanos);
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
      collaborators.metrics().promptTokens(usage.promptTokens(), usage.cachedTokens());
    }
    CacheHint hint =
        new CacheHint(
            reservation.engine(),
            reservation.engineIncarnation(),
            held,
            collaborators.clock().instant());
    return collaborators.tokens().issue(request.organisation(), chat.chat(), hint);
  }
}
