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
 * Engines that answer at once, or chunk by chunk at a fixed pace, with as little work of their own
 * as possible. One server stands for several engines, each with a port of its own.
 */
final class PacedEngine implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final int PACERS = 4;
  private static final int ACCEPTORS = 1;
  private static final int SELECTORS = 1;
  private static final int HTTP_THREADS_MAX = 256;

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<ServerConnector> connectors = new ArrayList<>();
  private final List<Queue<Stream>> streams = new ArrayList<>();
  private final ScheduledExecutorService pacers = Executors.newScheduledThreadPool(PACERS);
  private final AtomicInteger turn = new AtomicInteger();
  private final Javalin app;

  /**
   * Starts the engines.
   *
   * @param engines how many ports to listen on
   * @param intervalMicros the pace of the answers with more chunks than are sent at once
   */
  PacedEngine(int engines, long intervalMicros) {
    app =
        Javalin.create(
            config -> {
              config.showJavalinBanner = false;
              config.http.disableCompression();
              config.jetty.threadPool = new QueuedThreadPool(HTTP_THREADS_MAX);
              for (int i = 0; i < engines; i++) {
                config.jetty.addConnector((server, http) -> connector(server));
              }
            });
    app.get("/load", ctx -> ctx.contentType("application/json").result(load()));
    app.post("/v1/chat/completions", this::complete);
    app.delete("/v1/requests/{id}", ctx -> ctx.status(204));
    app.start();
    for (int i = 0; i < PACERS; i++) {
      Queue<Stream> mine = new ConcurrentLinkedQueue<>();
      streams.add(mine);
      var unused =
          pacers.scheduleAtFixedRate(
              () -> mine.removeIf(Stream::writeNext),
              intervalMicros,
              intervalMicros,
              TimeUnit.MICROSECONDS);
    }
  }

  private Connector connector(Server server) {
    ServerConnector connector = new ServerConnector(server, ACCEPTORS, SELECTORS);
    connector.setHost(HOST);
    connectors.add(connector);
    return connector;
  }

  /** Returns the engines' base addresses. */
  List<URI> addresses() {
    return connectors.stream()
        .map(connector -> URI.create("http://" + HOST + ":" + connector.getLocalPort()))
        .toList();
  }

  private static String load() {
    return "{\"incarnation\":1,\"outstandingRequests\":0,\"queuedTokens\":0,\"runningTokens\":0,"
        + "\"capacityRequests\":100000,\"leaving\":false,\"cachedTokens\":0}";
  }

  private void complete(Context context) throws IOException {
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
    Stream stream = new Stream(output, id, chunks);
    context.future(() -> stream.done);
    streams.get(Math.floorMod(turn.getAndIncrement(), PACERS)).add(stream);
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
    pacers.shutdownNow();
    app.stop();
  }

  /** One paced answer. */
  private static final class Stream {

    private final ServletOutputStream output;
    private final String id;
    private final int chunks;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int next;

    Stream(ServletOutputStream output, String id, int chunks) {
      this.output = output;
      this.id = id;
      this.chunks = chunks;
    }

    /** Returns true when the answer has ended. */
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
