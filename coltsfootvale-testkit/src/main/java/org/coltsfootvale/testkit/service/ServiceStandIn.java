package org.coltsfootvale.testkit.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootvale.testkit.support.Fault;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.StandInServer;

/**
 * A stand-in of a plain service that accepts any path, echoes the request, and counts the runs of
 * each request by {@code Idempotency-Key}, or by {@code X-Request-Id} if there is no key.
 */
public final class ServiceStandIn extends StandInServer {

  private static final int UNAVAILABLE = 503;
  private static final String OUTCOME_HEADER = "Coltsfootvale-Outcome";
  private static final List<HandlerType> METHODS =
      List.of(
          HandlerType.GET,
          HandlerType.POST,
          HandlerType.PUT,
          HandlerType.PATCH,
          HandlerType.DELETE);

  private final String id;
  private final long workMillis;
  private final Map<String, Integer> counts = new ConcurrentHashMap<>();

  /**
   * Creates a service stand-in.
   *
   * @param id the name of this backend server
   * @param port the port, 0 for any free one
   * @param workMillis the processing time of a request in milliseconds
   */
  public ServiceStandIn(String id, int port, long workMillis) {
    super(port);
    this.id = id;
    this.workMillis = workMillis;
  }

  @Override
  protected void addRoutes(Javalin server) {
    server.get("/counts", ctx -> json(ctx, countsJson()));
    for (HandlerType method : METHODS) {
      server.addHttpHandler(method, "/*", this::serve);
    }
  }

  /** Returns the number of runs of the request with the given key. */
  public int runs(String key) {
    return counts.getOrDefault(key, 0);
  }

  private ObjectNode countsJson() {
    ObjectNode answer = Json.object().put("id", id);
    ObjectNode byKey = answer.putObject("counts");
    counts.forEach(byKey::put);
    return answer;
  }

  private void serve(Context ctx) {
    if (faults().leaving() || faults().consume(Fault.REFUSE)) {
      refuse(ctx);
      return;
    }
    String key = key(ctx);
    int run = counts.merge(key, 1, Integer::sum);
    long millis = workMillis + (faults().consume(Fault.LATE) ? faults().lateMillis() : 0);
    String suffix = faults().consume(Fault.CROSSED) ? "-crossed" : "";
    ObjectNode answer = answer(ctx, key + suffix, run);
    String requestId = ctx.header("X-Request-Id");
    if (requestId != null) {
      ctx.header("X-Request-Id", requestId + suffix);
    }
    if (millis > 0) {
      ctx.future(() -> after(millis).thenRun(() -> json(ctx, answer)));
    } else {
      json(ctx, answer);
    }
  }

  private ObjectNode answer(Context ctx, String key, int run) {
    return Json.object()
        .put("server", id)
        .put("method", ctx.method().name())
        .put("path", ctx.path())
        .put("query", ctx.queryString())
        .put("organisation", ctx.header("X-Organisation"))
        .put("key", key)
        .put("run", run)
        .put("body", ctx.body());
  }

  private void refuse(Context ctx) {
    String reason = faults().leaving() ? "leaving" : "refused";
    ctx.header(OUTCOME_HEADER, "not_run");
    ctx.header("Retry-After", "1");
    json(ctx.status(UNAVAILABLE), Json.object().put("outcome", "not_run").put("reason", reason));
  }

  private static String key(Context ctx) {
    String key = ctx.header("Idempotency-Key");
    String requestId = Objects.requireNonNullElse(ctx.header("X-Request-Id"), "none");
    return key == null ? requestId : key;
  }
}
