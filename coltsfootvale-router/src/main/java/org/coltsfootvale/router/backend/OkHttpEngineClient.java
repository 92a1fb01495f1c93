package org.coltsfootvale.router.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSources;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.jspecify.annotations.Nullable;

/** Calls engines over HTTP with OkHttp. */
public final class OkHttpEngineClient implements EngineClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int CANCELS_IN_PROGRESS_MAX = 256;

  private final BackendClients clients;
  private final BackendSettings settings;
  private final CallWatchdog watchdog;
  private final BackendMetrics metrics;
  private final InstantSource clock;
  private final ObjectMapper mapper = new ObjectMapper();
  private final ObjectReader chunkReader = mapper.readerFor(EngineChunk.class);

  /** Creates the client; the owner of the watchdog must start it. */
  public OkHttpEngineClient(
      BackendClients clients,
      BackendSettings settings,
      CallWatchdog watchdog,
      BackendMetrics metrics,
      InstantSource clock) {
    this.clients = clients;
    this.settings = settings;
    this.watchdog = watchdog;
    this.metrics = metrics;
    this.clock = clock;
  }

  @Override
  public void run(EngineRequest request, SendGate gate, ChunkConsumer consumer) {
    OkHttpClient client = request.freshConnection() ? clients.fresh() : clients.pooled();
    Call call = client.newCall(httpRequest(request, gate));
    try (CallWatchdog.Watch watch =
        watchdog.watch(call::cancel, request.deadline(), settings.firstTokenTimeoutMillis())) {
      try (Response response = call.execute()) {
        read(request, response, watch, consumer, call::cancel);
      } catch (IOException e) {
        throw failure(request, gate, watch, e);
      }
    }
  }

  private void read(
      EngineRequest request,
      Response response,
      CallWatchdog.Watch watch,
      ChunkConsumer consumer,
      Runnable cancel) {
    checkAnswer(request, response);
    ChunkSequence sequence =
        new ChunkSequence(request.attemptId(), request.chunksReceived(), metrics);
    EngineStreamListener events =
        new EngineStreamListener(
            chunkReader, sequence, watch, settings.tokenTimeoutMillis(), consumer, cancel);
    EventSources.processResponse(EventSizeLimit.apply(response, events::eventsRead), events);
    @Nullable RuntimeException consumerFailure = events.consumerFailure();
    if (consumerFailure != null) {
      throw consumerFailure;
    }
    if (!events.complete()) {
      Stage stage = events.chunkReceived() ? Stage.PARTIAL : sentStage(request);
      throw incompleteAnswer(stage, watch, events.streamFailure());
    }
  }

  private void checkAnswer(EngineRequest request, Response response) {
    if (response.code() != 200) {
      throw refusal(request, response);
    }
    @Nullable String echoed = response.header("X-Request-Id");
    if (echoed != null && !echoed.equals(request.attemptId())) {
      metrics.misdirectedAnswerDropped();
      throw new AttemptFailedException(
          sentStage(request),
          ErrorKind.BACKEND_FAILED,
          "the engine sent the answer of another request",
          null);
    }
  }

  private static RuntimeException refusal(EngineRequest request, Response response) {
    int status = response.code();
    RefusalBody body = RefusalBody.read(response);
    if (status == 503 && body.outcome().equals("not_run")) {
      String reason = body.reason();
      return AttemptFailedException.refused(
          "the engine refused: " + reason,
          RetryAfter.parse(response.header("Retry-After")),
          reason.equals("leaving"));
    }
    if (status == 400 || status == 413 || status == 422) {
      return ColtsfootvaleException.outcomeUnknown(
          ErrorKind.MALFORMED_REQUEST, "the engine answered " + status + " " + body.detail());
    }
    return new AttemptFailedException(
        sentStage(request), ErrorKind.BACKEND_FAILED, "the engine answered " + status, null);
  }

  private static RuntimeException failure(
      EngineRequest request, SendGate gate, CallWatchdog.Watch watch, IOException cause) {
    if (!gate.passed()) {
      return new AttemptFailedException(
          request.resume() ? sentStage(request) : Stage.NOT_SENT,
          watch.expiry() == CallWatchdog.Expiry.DEADLINE
              ? ErrorKind.DEADLINE_EXCEEDED
              : ErrorKind.NO_BACKEND,
          "the engine could not be reached: " + cause.getMessage(),
          cause);
    }
    return incompleteAnswer(sentStage(request), watch, cause);
  }

  private static Stage sentStage(EngineRequest request) {
    return request.chunksReceived() > 0 ? Stage.PARTIAL : Stage.SENT;
  }

  private static AttemptFailedException incompleteAnswer(
      Stage stage, CallWatchdog.Watch watch, @Nullable Throwable cause) {
    if (watch.expiry() == CallWatchdog.Expiry.DEADLINE) {
      return new AttemptFailedException(
          stage, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed during the answer", cause);
    }
    String detail =
        watch.expiry() == CallWatchdog.Expiry.INACTIVITY
            ? "the engine fell silent"
            : "the engine's answer broke off before its end marker";
    return new AttemptFailedException(stage, ErrorKind.BACKEND_FAILED, detail, cause);
  }

  private Request httpRequest(EngineRequest request, SendGate gate) {
    return new Request.Builder()
        .url(url(request.engine(), "/v1/chat/completions"))
        .tag(SendGate.class, gate)
        .headers(headers(request))
        .post(RequestBody.create(request.body(), JSON))
        .build();
  }

  private Headers headers(EngineRequest request) {
    Headers.Builder headers =
        new Headers.Builder()
            .add("X-Request-Id", request.attemptId())
            .add("X-Priority", Integer.toString(request.priority()))
            .add("X-Deadline-Millis", Long.toString(remainingMillis(request.deadline())))
            .add("X-Chat", request.chat())
            .add("Accept", "text/event-stream")
            .add("Accept-Encoding", "identity");
    if (!request.resume() && request.outstandingRequestsMax() < Integer.MAX_VALUE) {
      headers.add("X-Outstanding-Max", Integer.toString(request.outstandingRequestsMax()));
    }
    if (request.resume()) {
      headers.add("X-Resume-Offset", Integer.toString(request.chunksReceived()));
    }
    if (request.importFrom() != null) {
      headers.add("X-Import-From", request.importFrom().toASCIIString());
    }
    if (request.idempotencyKey() != null) {
      // Callers choose the key, so that it may have characters beyond ASCII.
      headers.addUnsafeNonAscii("X-Idempotency-Key", request.idempotencyKey());
    }
    return headers.build();
  }

  private long remainingMillis(Instant deadline) {
    return Math.max(1, Duration.between(clock.instant(), deadline).toMillis());
  }

  private static HttpUrl url(URI base, String path) {
    return HttpUrl.get(base.resolve(path));
  }

  @Override
  public void cancel(URI engine, String attemptId) {
    OkHttpClient client = clients.pooled();
    if (client.dispatcher().runningCallsCount() >= CANCELS_IN_PROGRESS_MAX) {
      metrics.cancelDropped();
      return;
    }
    Request request =
        new Request.Builder().url(url(engine, "/v1/requests/" + attemptId)).delete().build();
    Call call = client.newCall(request);
    call.timeout().timeout(settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            metrics.cancelDropped();
          }

          @Override
          public void onResponse(Call done, Response response) {
            response.close();
            metrics.cancelSent();
          }
        });
  }

  /** Parses a chunk. */
  static EngineChunk parse(ObjectReader reader, String json) {
    try {
      return reader.readValue(json);
    } catch (JsonProcessingException e) {
      throw new AttemptFailedException(
          Stage.PARTIAL, ErrorKind.BACKEND_FAILED, "the engine sent a chunk that is no JSON", e);
    }
  }
}
