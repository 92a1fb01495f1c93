package org.coltsfootvale.router.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.release.AcceptedNote;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.ReleaseLog;
import org.coltsfootvale.core.release.ReleaseNote;
import org.coltsfootvale.core.release.ReleaseNoteCodec;
import org.coltsfootvale.router.request.ProblemJson;

/** The HTTP routes for operators: release notes, state dump and metrics. */
public final class OperatorRoutes {

  private static final int NOTE_BYTES_MAX = 900_000;
  private static final int HISTORY_LIMIT_DEFAULT = 100;

  private final ReleaseLog log;
  private final ReleaseNoteCodec codec;
  private final NoteQueries queries;
  private final OperatorAuthenticator authenticator;
  private final Supplier<StateDump> state;
  private final PrometheusMeterRegistry meters;
  private final ObjectMapper mapper;

  /**
   * Creates the routes.
   *
   * @param bootstrapTokenHash SHA-256 of the operator token accepted while no operator exists
   * @param state supplies the state dump
   */
  public OperatorRoutes(
      ReleaseLog log,
      ReleaseNoteCodec codec,
      Supplier<FleetView> view,
      Supplier<FleetState> fleetState,
      String bootstrapTokenHash,
      Supplier<StateDump> state,
      PrometheusMeterRegistry meters,
      ObjectMapper mapper) {
    this.log = log;
    this.codec = codec;
    this.queries = new NoteQueries(log, view);
    this.authenticator = new OperatorAuthenticator(fleetState, bootstrapTokenHash);
    this.state = state;
    this.meters = meters;
    this.mapper = mapper;
  }

  /** Registers the routes. */
  public void register(Javalin app) {
    app.get(
        "/metrics", ctx -> ctx.contentType("text/plain; version=0.0.4").result(meters.scrape()));
    app.get("/state", authenticated(ctx -> writeJson(ctx, 200, state.get())));
    app.get("/v1/notes", authenticated(this::history));
    app.get("/v1/notes/{id}/status", authenticated(this::status));
    app.post("/v1/notes", authenticated(this::submit));
  }

  private io.javalin.http.Handler authenticated(AuthenticatedHandler action) {
    return ctx -> {
      try {
        authenticator.check(ctx.header("Authorization"));
        action.handle(ctx);
      } catch (ColtsfootvaleException e) {
        writeProblem(ctx, e);
      }
    };
  }

  private void history(Context ctx) {
    long from = longQueryParam(ctx, "from", 1);
    int limit =
        (int) Math.min(Integer.MAX_VALUE, longQueryParam(ctx, "limit", HISTORY_LIMIT_DEFAULT));
    writeJson(ctx, 200, Map.of("notes", queries.history(from, limit)));
  }

  private void status(Context ctx) {
    String id = ctx.pathParam("id");
    NoteStatus status =
        queries
            .status(id)
            .orElseThrow(
                () ->
                    ColtsfootvaleException.notRun(
                        ErrorKind.UNKNOWN_RESOURCE, "No retained release note has the id " + id));
    writeJson(ctx, 200, status);
  }

  private void submit(Context ctx) {
    byte[] body = ctx.bodyAsBytes();
    if (body.length > NOTE_BYTES_MAX) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.BODY_TOO_LARGE, "A release note may have at most " + NOTE_BYTES_MAX + " bytes");
    }
    ReleaseNote note = codec.readYaml(new String(body, java.nio.charset.StandardCharsets.UTF_8));
    if (Boolean.parseBoolean(ctx.queryParam("check"))) {
      List<String> changes = log.check(note);
      writeJson(ctx, 200, new CheckedNote(note.id(), changes));
      return;
    }
    ctx.future(() -> commit(ctx, note));
  }

  private CompletableFuture<Void> commit(Context ctx, ReleaseNote note) {
    return log.submit(note)
        .handle(
            (accepted, error) -> {
              if (error == null) {
                writeJson(ctx, 201, SubmittedNote.of(accepted));
              } else {
                writeProblem(ctx, Failures.typed(error));
              }
              return null;
            });
  }

  private static long longQueryParam(Context ctx, String name, long defaultValue) {
    String text = ctx.queryParam(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.MALFORMED_REQUEST, name + " must be a whole number, but is " + text);
    }
  }

  private void writeJson(Context ctx, int status, Object body) {
    try {
      ctx.status(status).contentType("application/json").result(mapper.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialise the response as JSON", e);
    }
  }

  private static void writeProblem(Context ctx, ColtsfootvaleException error) {
    ProblemJson.headers(error).forEach(pair -> ctx.header(pair.getFirst(), pair.getSecond()));
    ctx.status(error.kind().httpStatus()).result(ProblemJson.write(error, ""));
  }

  /** Handles an authenticated request. */
  @FunctionalInterface
  private interface AuthenticatedHandler {
    void handle(Context ctx);
  }

  private record CheckedNote(String id, List<String> changes) {}

  private record SubmittedNote(String id, long revision) {

    static SubmittedNote of(AcceptedNote note) {
      return new SubmittedNote(note.note().id(), note.revision());
    }
  }
}
