package org.coltsfootvale.router.backend;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.jspecify.annotations.Nullable;

/** Calls plain services over HTTP with OkHttp. */
public final class OkHttpServiceClient implements ServiceClient {

  private static final String OUTCOME = "Coltsfootvale-Outcome";
  private static final int BUFFER_BYTES = 16_384;

  private final BackendClients clients;
  private final BackendSettings settings;
  private final CallWatchdog watchdog;

  /** Creates the client; the owner of the watchdog must start it. */
  public OkHttpServiceClient(
      BackendClients clients, BackendSettings settings, CallWatchdog watchdog) {
    this.clients = clients;
    this.settings = settings;
    this.watchdog = watchdog;
  }

  @Override
  public void call(ServiceCall service, SendGate gate, AnswerConsumer consumer) {
    Request request = httpRequest(service, gate);
    var client = service.freshConnection() ? clients.fresh() : clients.pooled();
    Call call = client.newCall(request);
    try (CallWatchdog.Watch watch =
        watchdog.watch(call::cancel, service.deadline(), settings.serviceTimeoutMillis())) {
      try (Response response = call.execute()) {
        checkRefusal(response);
        checkEcho(service, response);
        copy(call, response, watch, consumer);
      } catch (IOException e) {
        throw failure(gate, watch, e);
      }
    }
  }

  private static void checkRefusal(Response response) {
    if (!response.isSuccessful() && "not_run".equals(response.header(OUTCOME))) {
      throw AttemptFailedException.refused(
          "the service refused with status " + response.code(),
          RetryAfter.parse(response.header("Retry-After")),
          RefusalBody.read(response).reason().equals("leaving"));
    }
  }

  private static void checkEcho(ServiceCall service, Response response) {
    @Nullable String echoed = response.header("X-Request-Id");
    if (echoed != null && !echoed.isEmpty() && !echoed.equals(service.requestId())) {
      throw new AttemptFailedException(
          Stage.SENT, ErrorKind.BACKEND_FAILED, "the service answered another request", null);
    }
  }

  private void copy(Call call, Response response, CallWatchdog.Watch watch, AnswerConsumer consumer)
      throws IOException {
    try (InputStream body = response.body().byteStream()) {
      try {
        copy(response, body, watch, consumer);
      } catch (RuntimeException e) {
        // Closing the body instead would read on for up to 100 ms, to reuse the connection.
        call.cancel();
        throw e;
      }
    }
  }

  private void copy(
      Response response, InputStream body, CallWatchdog.Watch watch, AnswerConsumer consumer) {
    watch.suspend();
    consumer.head(response.code(), HopByHopHeaders.remove(response.headers()));
    watch.resume(settings.serviceTimeoutMillis());
    byte[] buffer = new byte[BUFFER_BYTES];
    for (int length = read(body, buffer); length >= 0; length = read(body, buffer)) {
      watch.suspend();
      consumer.body(buffer, length);
      watch.resume(settings.serviceTimeoutMillis());
    }
  }

  private static int read(InputStream body, byte[] buffer) {
    try {
      return body.read(buffer);
    } catch (IOException e) {
      throw new AttemptFailedException(
          Stage.PARTIAL, ErrorKind.BACKEND_FAILED, "the service's answer broke off", e);
    }
  }

  private static AttemptFailedException failure(
      SendGate gate, CallWatchdog.Watch watch, IOException cause) {
    Stage stage = gate.passed() ? Stage.SENT : Stage.NOT_SENT;
    if (watch.expiry() == CallWatchdog.Expiry.DEADLINE) {
      return new AttemptFailedException(
          stage, ErrorKind.DEADLINE_EXCEEDED, "the service did not answer in time", cause);
    }
    return new AttemptFailedException(
        stage,
        gate.passed() ? ErrorKind.BACKEND_FAILED : ErrorKind.NO_BACKEND,
        gate.passed() ? "the service did not answer" : "the service could not be reached",
        cause);
  }

  private static Request httpRequest(ServiceCall call, SendGate gate) {
    RequestBody body = body(call);
    try {
      return new Request.Builder()
          .url(url(call.replica(), call.path(), call.query()))
          .headers(call.headers())
          .method(call.method(), body)
          .tag(SendGate.class, gate)
          .build();
    } catch (IllegalArgumentException e) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.MALFORMED_REQUEST, "the request cannot be passed on: " + e.getMessage());
    }
  }

  private static @Nullable RequestBody body(ServiceCall call) {
    boolean empty = call.body().length == 0;
    boolean required =
        switch (call.method()) {
          case "POST", "PUT", "PATCH" -> true;
          default -> false;
        };
    return empty && !required ? null : RequestBody.create(call.body());
  }

  private static HttpUrl url(URI replica, String path, @Nullable String query) {
    HttpUrl base = HttpUrl.get(replica);
    HttpUrl url = base.newBuilder().encodedPath(path).encodedQuery(query).build();
    if (!url.encodedPath().equals(path)) {
      throw new IllegalArgumentException(
          "write the path without dot segments and with reserved characters percent-encoded");
    }
    return url;
  }
}
