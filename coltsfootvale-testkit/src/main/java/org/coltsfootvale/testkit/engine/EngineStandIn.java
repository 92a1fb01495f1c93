package org.coltsfootvale.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.testkit.support.Fault;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.ResponseStream;
import org.coltsfootvale.testkit.support.StandInServer;

/** A stand-in of a model engine. */
public final class EngineStandIn extends StandInServer {

  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;
  private static final int NO_CONTENT = 204;
  private static final int CONFLICT = 409;
  private static final long TICK_MILLIS = 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final EngineOptions options;
  private final CacheEvents events;
  private final Batcher batcher;
  private final LoadReports reports;
  private final AppliedOrder appliedOrder;
  private final RunCounts runs = new RunCounts();
  private final CacheTransfer transfer = new CacheTransfer();
  private long lastTickNanos;

  /**
   * Creates an engine stand-in.
   *
   * @param options its options
   * @param clock the time source for lags
   */
  public EngineStandIn(EngineOptions options, InstantSource clock) {
    super(options.port());
    this.options = options;
    this.events = new CacheEvents(clock, options.eventLagMillis(), options.eventGapEvery());
    this.batcher = new Batcher(options, events::add);
    this.reports = new LoadReports(clock, options.loadLagMillis(), currentLoad());
    this.appliedOrder = new AppliedOrder(options.checksFencing());
  }

  @Override
  protected void addRoutes(Javalin server) {
    server.post("/v1/chat/completions", this::complete);
    server.delete("/v1/requests/{requestId}", this::cancel);
    server.get("/load", ctx -> json(ctx, reports.visible()));
    server.get("/cache/events", this::listCacheEvents);
    server.post("/cache/export", this::exportCache);
    server.post("/cache/import", this::importCache);
    server.post("/orders", this::applyOrder);
    server.get("/orders", ctx -> json(ctx, appliedOrder.toJson()));
    server.get("/counts", ctx -> json(ctx, counts()));
  }

  @Override
  protected void onStart() {
    lastTickNanos = System.nanoTime();
    repeatEvery(TICK_MILLIS, this::tick);
  }

  @Override
  protected void onStop() {
    transfer.close();
  }

  /** Returns the number of runs of the request with the given id. */
  public int requestRuns(String requestId) {
    return runs.requestRuns(requestId);
  }

  /** Returns the number of runs of requests with the given idempotency key. */
  public int keyRuns(String key) {
    return runs.keyRuns(key);
  }

  private void tick() {
    long now = System.nanoTime();
    batcher.advance(Duration.ofNanos(now - lastTickNanos));
    lastTickNanos = now;
    reports.add(currentLoad());
  }

  private ObjectNode currentLoad() {
    Batcher.LoadSample load = batcher.load();
    return Json.object()
        .put("incarnation", options.incarnation())
        .put("outstandingRequests", load.outstandingRequests())
        .put("queuedTokens", load.queuedTokens())
        .put("runningTokens", load.runningTokens())
        .put("capacityRequests", options.capacityRequests())
        .put("leaving", faults().leaving())
        .put("cachedTokens", load.cachedTokens());
  }

  private void complete(Context ctx) {
    Prompt prompt = Prompt.read(Json.parseObject(ctx.body()), ctx.header("X-Chat"));
    String requestId = ctx.header("X-Request-Id");
    if (requestId == null) {
      throw new IllegalArgumentException("a completion needs the header X-Request-Id");
    }
    String offset = ctx.header("X-Resume-Offset");
    String importFrom = ctx.header("X-Import-From");
    if (offset != null) {
      resume(ctx, prompt, requestId, Integer.parseInt(offset));
    } else if (faults().leaving()) {
      refuse(ctx, "leaving");
    } else if (faults().consume(Fault.REFUSE)) {
      refuse(ctx, "full");
    } else if (importFrom != null) {
      ctx.future(
          () ->
              importFrom(importFrom, prompt.chat())
                  .thenAccept(tokens -> startCompletion(ctx, prompt, requestId)));
    } else {
      startCompletion(ctx, prompt, requestId);
    }
  }

  private void startCompletion(Context ctx, Prompt prompt, String requestId) {
    boolean crossed = faults().consume(Fault.CROSSED);
    Completion completion =
        new Completion(requestId, prompt, priority(ctx), answer(prompt, crossed));
    if (!batcher.submit(completion, outstandingMax(ctx))) {
      refuse(ctx, "full");
      return;
    }
    runs.add(requestId, ctx.header("X-Idempotency-Key"));
    String responseId = crossed ? requestId + "-crossed" : requestId;
    CompletionStream stream = openStream(ctx, responseId, prompt, 0);
    armFaults(stream, completion);
    if (faults().consume(Fault.LATE)) {
      runAfter(faults().lateMillis(), () -> batcher.attach(completion, 0, stream));
    } else {
      batcher.attach(completion, 0, stream);
    }
  }

  private void resume(Context ctx, Prompt prompt, String requestId, int fromToken) {
    Optional<Completion> completion = batcher.find(requestId);
    if (completion.isEmpty()) {
      json(ctx.status(NOT_FOUND), Json.object().put("reason", "unknown_request"));
      return;
    }
    CompletionStream stream = openStream(ctx, requestId, prompt, fromToken);
    armFaults(stream, completion.get());
    batcher.attach(completion.get(), fromToken, stream);
  }

  private CompletionStream openStream(
      Context ctx, String responseId, Prompt prompt, int firstIndex) {
    ctx.header("X-Request-Id", responseId);
    ctx.contentType(prompt.stream() ? "text/event-stream" : "application/json");
    ResponseStream response = ResponseStream.open(ctx, writers());
    return new CompletionStream(response, responseId, prompt, firstIndex);
  }

  private void armFaults(CompletionStream stream, Completion completion) {
    int tokens = completion.answer().size();
    if (faults().consume(Fault.TRUNCATED)) {
      stream.truncate(tokens);
    }
    if (faults().consume(Fault.SILENT_STREAM)) {
      stream.silenceHalfWay(tokens);
    }
  }

  private static List<String> answer(Prompt prompt, boolean crossed) {
    return AnswerText.tokens(crossed ? ~prompt.hash() : prompt.hash(), prompt.maxTokens());
  }

  private static int outstandingMax(Context ctx) {
    String max = ctx.header("X-Outstanding-Max");
    return max == null ? Integer.MAX_VALUE : Integer.parseInt(max);
  }

  private static int priority(Context ctx) {
    String priority = ctx.header("X-Priority");
    return priority == null ? 0 : Integer.parseInt(priority);
  }

  private static void refuse(Context ctx, String reason) {
    ctx.header("Retry-After", "1");
    json(ctx.status(UNAVAILABLE), Json.object().put("outcome", "not_run").put("reason", reason));
  }

  private void cancel(Context ctx) {
    boolean cancelled = batcher.cancel(ctx.pathParam("requestId"));
    ctx.status(cancelled ? NO_CONTENT : NOT_FOUND);
  }

  private void listCacheEvents(Context ctx) {
    String after = ctx.queryParam("after");
    json(ctx, events.toJson(after == null ? 0 : Long.parseLong(after)));
  }

  private void exportCache(Context ctx) {
    String chat = Json.parseObject(ctx.body()).path("chat").asText();
    json(ctx, CacheTransfer.export(chat, batcher.export(chat)));
  }

  private void importCache(Context ctx) {
    JsonNode body = Json.parseObject(ctx.body());
    ctx.future(
        () ->
            importFrom(body.path("from").asText(), body.path("chat").asText())
                .thenAccept(tokens -> json(ctx, Json.object().put("tokens", tokens))));
  }

  private CompletableFuture<Long> importFrom(String from, String chat) {
    return transfer.fetch(from, chat).thenCompose(blocks -> storeImported(chat, blocks));
  }

  private CompletableFuture<Long> storeImported(String chat, List<PrefixCache.Block> blocks) {
    if (blocks.isEmpty()) {
      return CompletableFuture.completedFuture(0L);
    }
    long tokens = CacheTransfer.tokens(blocks);
    double seconds = tokens / options.importTokensPerSecond() / options.timeScale();
    return after((long) (seconds * MILLIS_PER_SECOND))
        .thenApply(
            ignored -> {
              batcher.store(chat, blocks);
              return tokens;
            });
  }

  private void applyOrder(Context ctx) {
    Optional<ObjectNode> state = appliedOrder.apply(Json.parseObject(ctx.body()));
    if (state.isPresent()) {
      json(ctx, state.get());
    } else {
      ObjectNode refusal = Json.object().put("reason", "stale_fencing");
      json(ctx.status(CONFLICT), refusal.put("seen", appliedOrder.highestFencing()));
    }
  }

  private ObjectNode counts() {
    Batcher.Totals totals = batcher.totals();
    ObjectNode answer = runs.toJson().put("id", options.id());
    answer
        .putObject("totals")
        .put("accepted", totals.accepted)
        .put("finished", totals.finished)
        .put("cancelled", totals.cancelled)
        .put("refused", totals.refused)
        .put("promptTokens", totals.promptTokens)
        .put("cachedTokens", totals.cachedTokens)
        .put("completionTokens", totals.completionTokens);
    return answer;
  }
}
