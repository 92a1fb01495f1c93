package org.coltsfootvale.router.caller;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A plain service that counts its runs and injects the queued faults. */
final class StubService implements AutoCloseable {

  enum Fault {
    NONE,
    REFUSE_NOT_RUN,
    LEAVING,
    CROSSED,
    UNAVAILABLE_RETRY_NOW,
    CLOSE_UNANSWERED,
    TRUNCATE
  }

  record ReceivedRequest(String method, String uri, Headers headers, String body) {}

  final Queue<Fault> faults = new ConcurrentLinkedQueue<>();
  final Queue<ReceivedRequest> receivedRequests = new ConcurrentLinkedQueue<>();
  final AtomicInteger runs = new AtomicInteger();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpServer server;

  StubService() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  URI address() {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    receivedRequests.add(
        new ReceivedRequest(
            exchange.getRequestMethod(),
            exchange.getRequestURI().toString(),
            exchange.getRequestHeaders(),
            new String(body, StandardCharsets.UTF_8)));
    Fault fault = faults.isEmpty() ? Fault.NONE : faults.remove();
    if (fault == Fault.REFUSE_NOT_RUN || fault == Fault.LEAVING) {
      refuse(exchange, fault);
      return;
    }
    int run = runs.incrementAndGet();
    switch (fault) {
      case UNAVAILABLE_RETRY_NOW -> {
        exchange.getResponseHeaders().add("Retry-After", "0");
        exchange.sendResponseHeaders(503, -1);
      }
      case CROSSED -> {
        exchange.getResponseHeaders().add("X-Request-Id", "another");
        exchange.sendResponseHeaders(200, -1);
      }
      case TRUNCATE -> {
        exchange.sendResponseHeaders(200, 1_000);
        exchange.getResponseBody().write("only the start".getBytes(StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
      }
      case CLOSE_UNANSWERED -> {}
      default -> {
        byte[] answer = ("run " + run).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("X-Service", "crane");
        exchange.getResponseHeaders().add("Set-Cookie", "a=1");
        exchange.getResponseHeaders().add("Set-Cookie", "b=2");
        exchange.sendResponseHeaders(201, answer.length);
        exchange.getResponseBody().write(answer);
      }
    }
    exchange.close();
  }

  private static void refuse(HttpExchange exchange, Fault fault) throws IOException {
    String reason = fault == Fault.LEAVING ? "leaving" : "full";
    byte[] body = ("{\"reason\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().add("Coltsfootvale-Outcome", "not_run");
    exchange.sendResponseHeaders(503, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
