package org.coltsfootvale.verify.cost;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.http.Context;
import jakarta.servlet.ServletOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Stub engines that answer at once, or chunk by chunk at a fixed pace, with minimal overhead. One
 * server stands in for several engines, each with its own port.
 */
final class PacedEngine implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final int PACING_THREADS = 4;
  private static final int ACCEPTORS = 1;
  private static final int SELECTORS = 1;
  private static final int HTTP_THREADS_MAX = 256;

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<ServerConnector> connectors = new ArrayList<>();
  private final List<Queue<PacedAnswer>> streams = new ArrayList<>();
  private final ScheduledExecutorService pacingExecutor =
      Executors.newScheduledThreadPool(PACING_THREADS);
  private final AtomicInteger nextQueue = new AtomicInteger();
  private final Javalin app;

  /**
   * Starts the engines.
   *
   * @param engines the number of engines, each with its own port
   * @param intervalMicros the interval between the chunks of a paced answer, in microseconds
   */
  PacedEngine(int engines, long intervalMicros) {
    app =
        Javalin.create(
            config -> {
              config.showJavalinBanner = false;
              config.http.disableCompression();
              config.jetty.threadPool = new QueuedThreadPool(HTTP_THREADS_MAX);
              for (int i = 0; i < engines; i++) {
                config.jetty.addConnector((server, http) -> addConnector(server));
              }
            });
    app.get("/load", ctx -> ctx.contentType("application/json").result(loadReport()));
    app.post("/v1/chat/completions", this::handleChat);
    app.delete("/v1/requests/{id}", ctx -> ctx.status(204));
    app.start();
    for (int i = 0; i < PACING_THREADS; i++) {
      Queue<PacedAnswer> queue = new ConcurrentLinkedQueue<>();
      streams.add(queue);
      var unused =
          pacingExecutor.scheduleAtFixedRate(
              () -> queue.removeIf(PacedAnswer::writeNext),
              intervalMicros,
              intervalMicros,
              TimeUnit.MICROSECONDS);
    }
  }

  private Connector addConnector(Server server) {
    ServerConnector connector = new ServerConnector(server, ACCEPTORS, SELECTORS);
    connector.setHost(HOST);
    connectors.add(connector);
    return connector;
  }

  /** Returns the base URLs of the engines. */
  List<URI> addresses() {
    return connectors.stream()
        .map(connector -> URI.create("http://" + HOST + ":" + connector.getLocalPort()))
        .toList();
  }

  private static String loadReport() {
    return "{\"incarnation\":1,\"outstandingRequests\":0,\"queuedTokens\":0,\"runningTokens\":0,"
        + "\"capacityRequests\":100000,\"leaving\":false,\"cachedTokens\":0}";
  }

  private void handleChat(Context context) throws IOException {
    JsonNode body = mapper.readTree(context.bodyAsBytes());
    String id = String.valueOf(context.header("X-Request-Id"));
    int chunks = body.path("max_tokens").asInt();
    context.header("X-Request-Id", id).contentType("text/event-stream");
    ServletOutputStream output = context.res().getOutputStream();
    if (!body.path("paced").asBoolean()) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < chunks; i++) {
        all.append(chunk(id, i, chunks));
      }
      output.write(all.append("data: [DONE]\n\n").toString().getBytes(StandardCharsets.UTF_8));
      return;
    }
    PacedAnswer stream = new PacedAnswer(output, id, chunks);
    context.future(() -> stream.done);
    streams.get(Math.floorMod(nextQueue.getAndIncrement(), PACING_THREADS)).add(stream);
  }

  private static String chunk(String id, int index, int chunks) {
    boolean last = index == chunks - 1;
    return "data: {\"id\":\""
        + id
        + "\",\"object\":\"chat.completion.chunk\",\"index\":"
        + index
        + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"heron\"},\"finish_reason\":"
        + (last
            ? "\"stop\"}],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":"
            : "null}]}\n\n")
        + (last ? chunks + "}}\n\n" : "");
  }

  @Override
  public void close() {
    pacingExecutor.shutdownNow();
    app.stop();
  }

  /** Answer that is written chunk by chunk. */
  private static final class PacedAnswer {

    private final ServletOutputStream output;
    private final String id;
    private final int chunks;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int next;

    PacedAnswer(ServletOutputStream output, String id, int chunks) {
      this.output = output;
      this.id = id;
      this.chunks = chunks;
    }

    /** Writes the next chunk; returns whether the answer has ended. */
    private boolean writeNext() {
      try {
        String text = chunk(id, next, chunks);
        next++;
        boolean last = next == chunks;
        output.write((last ? text + "data: [DONE]\n\n" : text).getBytes(StandardCharsets.UTF_8));
        output.flush();
        if (last) {
          done.complete(null);
        }
        return last;
      } catch (IOException e) {
        done.complete(null);
        return true;
      }
    }
  }
}
