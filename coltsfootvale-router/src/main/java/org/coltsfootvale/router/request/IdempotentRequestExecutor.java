package org.coltsfootvale.router.request;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import okhttp3.Headers;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.once.IdempotencyDecision;
import org.coltsfootvale.core.once.IdempotencyDecision.Execution;
import org.coltsfootvale.core.once.IdempotencyKey;
import org.coltsfootvale.core.once.IdempotencyRegistry;
import org.coltsfootvale.core.once.KeyPrefixes;
import org.coltsfootvale.core.once.StoredAnswer;
import org.jspecify.annotations.Nullable;

/** Executes requests; those with an idempotency key as the idempotency registry decides. */
public final class IdempotentRequestExecutor {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final KeyPrefixes prefixes;
  private final IdempotencyRegistry registry;
  private final Forwarder forwarder;
  private final ServingSettings settings;
  private final ServingMetrics metrics;
  private final InstantSource clock;

  /** Creates the handler. */
  public IdempotentRequestExecutor(
      KeyPrefixes prefixes,
      IdempotencyRegistry registry,
      Forwarder forwarder,
      ServingSettings settings,
      ServingMetrics metrics,
      InstantSource clock) {
    this.prefixes = prefixes;
    this.registry = registry;
    this.forwarder = forwarder;
    this.settings = settings;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** The processing of a request, executed here at most once for each key. */
  @FunctionalInterface
  interface RequestTask {

    /**
     * Processes the request.
     *
     * @param beforeSend must be called directly before the first byte is sent to a backend server
     * @param answer receives the answer
     */
    void run(Runnable beforeSend, Answer answer);
  }

  /** Returns whether a request is marked as one that must not be repeated. */
  static boolean markedNoRepeat(IncomingRequest request) {
    @Nullable String mark = request.headers().get(CallerHeaders.NO_REPEAT);
    if (mark == null || mark.equals("false")) {
      return false;
    }
    if (!mark.equals("true")) {
      throw malformed(CallerHeaders.NO_REPEAT + " must be 'true' or 'false'");
    }
    return true;
  }

  /** Serves a request: directly without a key, otherwise as the registry decides. */
  void serve(IncomingRequest request, Answer answer, RequestTask task) {
    @Nullable String text = request.headers().get(CallerHeaders.IDEMPOTENCY_KEY);
    if (text != null) {
      serve(decide(request, text), request, answer, task);
      return;
    }
    if (markedNoRepeat(request)) {
      throw malformed(CallerHeaders.NO_REPEAT + " needs an " + CallerHeaders.IDEMPOTENCY_KEY);
    }
    task.run(() -> {}, answer);
  }

  private IdempotencyDecision decide(IncomingRequest request, String text) {
    try {
      IdempotencyKey key = prefixes.parse(request.organisation(), text);
      return registry.begin(key, fingerprint(request));
    } catch (ColtsfootvaleException e) {
      throw Outcomes.beforeKeyLookup(e);
    }
  }

  private static long fingerprint(IncomingRequest request) {
    return Hashing.komihash5_0()
        .hashStream()
        .putString(request.method())
        .putString(request.path())
        .putString(request.query() == null ? "" : request.query())
        .putByteArray(request.body())
        .getAsLong();
  }

  private void serve(
      IdempotencyDecision decision, IncomingRequest request, Answer answer, RequestTask task) {
    if (decision instanceof IdempotencyDecision.Run run) {
      metrics.idempotencyDecision("run");
      run(run.execution(), answer, task);
    } else if (decision instanceof IdempotencyDecision.Attach attach) {
      metrics.idempotencyDecision("attach");
      replay(awaitAnswer(attach.answer(), request), answer);
    } else if (decision instanceof IdempotencyDecision.Forward forward) {
      metrics.idempotencyDecision("forward");
      forward(forward, request, answer);
    } else if (decision instanceof IdempotencyDecision.Claim claim) {
      metrics.idempotencyDecision("claim");
      serve(awaitClaim(claim.decision(), request), request, answer, task);
    }
  }

  private void run(Execution execution, Answer answer, RequestTask task) {
    RecordingAnswer recording = new RecordingAnswer(answer, settings.storedAnswerBytesMax());
    try {
      task.run(execution::beforeSend, recording);
    } catch (ColtsfootvaleException e) {
      if (e.outcome() == Outcome.NOT_RUN) {
        execution.notRun();
      } else {
        execution.outcomeUnknown(e);
      }
      throw e;
    } catch (RuntimeException | Error e) {
      execution.outcomeUnknown(
          new ColtsfootvaleException(
              ErrorKind.INTERNAL, Outcome.UNKNOWN, "the router failed", null, e));
      throw e;
    }
    @Nullable StoredAnswer stored = recording.stored();
    if (stored != null) {
      execution.finished(stored);
    } else {
      execution.outcomeUnknown(
          ColtsfootvaleException.outcomeUnknown(
              ErrorKind.ANSWER_NOT_KEPT, "the request ran, but its answer is too large to keep"));
    }
  }

  private StoredAnswer awaitAnswer(
      CompletableFuture<StoredAnswer> answer, IncomingRequest request) {
    try {
      return await(answer, request);
    } catch (TimeoutException e) {
      throw new ColtsfootvaleException(
          ErrorKind.IN_PROGRESS,
          Outcome.UNKNOWN,
          "the first request with this key has not ended within the deadline",
          RETRY_AFTER,
          e);
    }
  }

  private IdempotencyDecision awaitClaim(
      CompletableFuture<IdempotencyDecision> decision, IncomingRequest request) {
    try {
      return await(decision, request);
    } catch (ColtsfootvaleException e) {
      throw Outcomes.beforeKeyLookup(e);
    } catch (TimeoutException e) {
      var unused = decision.thenAccept(IdempotentRequestExecutor::abandon);
      throw new ColtsfootvaleException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          Outcome.UNKNOWN,
          "the key could not be claimed within the deadline",
          RETRY_AFTER,
          e);
    }
  }

  private static void abandon(IdempotencyDecision decision) {
    if (decision instanceof IdempotencyDecision.Run run) {
      run.execution().notRun();
    }
  }

  private <T> T await(CompletableFuture<T> future, IncomingRequest request)
      throws TimeoutException {
    long millis = Duration.between(clock.instant(), request.deadline()).toMillis();
    try {
      return future.get(Math.max(1, millis), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw Failures.typed(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.CANCELLED, "the router is being stopped");
    }
  }

  private static void replay(StoredAnswer stored, Answer answer) {
    Headers.Builder headers = new Headers.Builder();
    stored
        .headers()
        .forEach((name, values) -> values.forEach(v -> headers.addUnsafeNonAscii(name, v)));
    answer.head(stored.status(), headers.build());
    if (stored.body().length > 0) {
      answer.body(stored.body(), stored.body().length);
    }
    answer.end();
  }

  private void forward(
      IdempotencyDecision.Forward forward, IncomingRequest request, Answer answer) {
    if (request.forwarded()) {
      throw ColtsfootvaleException.outcomeUnknown(
          ErrorKind.HOME_LOST, "the key's home is " + forward.home() + ", not this router");
    }
    forwarder.forward(forward.home(), request, answer);
  }

  private static ColtsfootvaleException malformed(String detail) {
    return ColtsfootvaleException.notRun(ErrorKind.MALFORMED_REQUEST, detail);
  }
}
