package org.coltsfootvale.testkit.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.javalin.Javalin;
import io.javalin.http.ContentType;
import io.javalin.http.Context;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** An HTTP server on the loopback address with the fault switches common to all stand-ins. */
public abstract class StandInServer implements AutoCloseable {

  /** The loopback address that every stand-in listens on. */
  public static final String HOST = "127.0.0.1";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int BAD_REQUEST = 400;
  private static final int BODY_BYTES_MAX = 16 << 20;
  private static final int HTTP_THREADS_MAX = 24;
  private static final int WRITER_THREADS = 4;
  private static final String FAULTS_PATH = "/faults";

  private final int requestedPort;
  private final FaultSwitches faults = new FaultSwitches();
  private final Connections connections = new Connections();
  private final ExecutorService writers = Executors.newFixedThreadPool(WRITER_THREADS);
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private @Nullable Javalin app;

  /**
   * Creates a server without starting it.
   *
   * @param port the port to listen on, 0 for any free one
   */
  protected StandInServer(int port) {
    this.requestedPort = port;
  }

  /** Adds the routes of the stand-in. */
  protected abstract void addRoutes(Javalin server);

  /** Starts the stand-in's background tasks; does nothing by default. */
  protected void onStart() {}

  /** Releases the stand-in's resources; does nothing by default. */
  protected void onStop() {}

  /** Called after the switches have changed; does nothing by default. */
  protected void onFaultsChanged() {}

  /** Returns whether the fault of a lost reply may affect the request; true by default. */
  protected boolean canLoseReply(Context ctx) {
    return true;
  }

  /** Starts the server. */
  public final void start() {
    Javalin server =
        Javalin.create(
            config -> {
              config.showJavalinBanner = false;
              config.http.disableCompression();
              config.http.maxRequestSize = BODY_BYTES_MAX;
              config.jetty.threadPool = new QueuedThreadPool(HTTP_THREADS_MAX);
              config.jetty.defaultHost = HOST;
            });
    server.get(FAULTS_PATH, ctx -> json(ctx, faults.toJson()));
    server.post(FAULTS_PATH, this::updateFaults);
    server.delete(FAULTS_PATH, this::clearFaults);
    server.get("/health", ctx -> ctx.result("ok"));
    server.before(this::applyFaults);
    server.after(this::applyReplyLoss);
    server.exception(IllegalArgumentException.class, (e, ctx) -> badRequest(ctx, e));
    addRoutes(server);
    server.start(requestedPort);
    app = server;
    onStart();
  }

  /** Stops the server, if started, and its threads. */
  public final void stop() {
    timers.shutdownNow();
    Javalin server = app;
    if (server != null) {
      server.stop();
      app = null;
    }
    writers.shutdownNow();
    onStop();
  }

  @Override
  public final void close() {
    stop();
  }

  /** Returns the port that the server listens on. */
  public final int port() {
    Javalin server = app;
    if (server == null) {
      throw new IllegalStateException("the stand-in is not started; call start() first");
    }
    return server.port();
  }

  /** Returns the base address without a trailing slash. */
  public final String url() {
    return "http://" + HOST + ":" + port();
  }

  /** Returns the fault switches. */
  public final FaultSwitches faults() {
    return faults;
  }

  /** Returns the executor that writes streams. */
  protected final ExecutorService writers() {
    return writers;
  }

  /** Runs a task at a fixed rate, also after it has failed. */
  protected final void repeatEvery(long millis, Runnable task) {
    var unused =
        timers.scheduleAtFixedRate(() -> runLogged(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Runs a task once after a delay in milliseconds. */
  protected final void runAfter(long millis, Runnable task) {
    var unused = timers.schedule(() -> runLogged(task), millis, TimeUnit.MILLISECONDS);
  }

  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.atWarning().withCause(e).log("a scheduled task of a stand-in failed");
    }
  }

  /** Sends a JSON response. */
  protected static void json(Context ctx, JsonNode body) {
    ctx.contentType(ContentType.APPLICATION_JSON).result(Json.write(body));
  }

  /** Closes the connection of a request without sending an answer. */
  protected static void closeConnection(Context ctx) {
    Connections.close(ctx);
  }

  /** Returns a future that completes after a delay in milliseconds. */
  protected final CompletableFuture<Void> after(long millis) {
    CompletableFuture<Void> future = new CompletableFuture<>();
    runAfter(millis, () -> future.complete(null));
    return future;
  }

  private static void badRequest(Context ctx, IllegalArgumentException e) {
    json(ctx.status(BAD_REQUEST), Json.object().put("error", String.valueOf(e.getMessage())));
  }

  private void updateFaults(Context ctx) {
    faults.update(Json.parseObject(ctx.body()));
    onFaultsChanged();
    json(ctx, faults.toJson());
  }

  private void clearFaults(Context ctx) {
    faults.clear();
    onFaultsChanged();
    json(ctx, faults.toJson());
  }

  private void applyFaults(Context ctx) {
    if (isControl(ctx)) {
      return;
    }
    if (connections.isSilent(ctx) || faults.consume(Fault.SILENT)) {
      connections.silence(ctx);
      ctx.future(CompletableFuture<Void>::new);
    } else if (faults.outage()) {
      closeConnection(ctx);
      ctx.skipRemainingHandlers();
    } else {
      delay(ctx);
    }
  }

  private void delay(Context ctx) {
    long millis = faults.delayMillis();
    if (millis > 0) {
      ctx.future(() -> after(millis));
    }
  }

  private void applyReplyLoss(Context ctx) {
    if (!isControl(ctx) && canLoseReply(ctx) && faults.consume(Fault.REPLY_LOST)) {
      closeConnection(ctx);
    }
  }

  private static boolean isControl(Context ctx) {
    return ctx.path().equals(FAULTS_PATH) || ctx.path().equals("/counts");
  }
}
