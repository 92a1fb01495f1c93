package org.coltsfootvale.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A router that returns prepared answers and records its requests. */
final class FakeRouter implements AutoCloseable {

  private final HttpServer server;
  private final Map<String, Deque<Answer>> answers = new HashMap<>();
  private final List<String> requests = new ArrayList<>();

  FakeRouter() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::serve);
    server.start();
  }

  String url() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  /** Prepares an answer; the last one prepared for a request is returned repeatedly. */
  synchronized void prepareAnswer(String request, int status, String body) {
    answers.computeIfAbsent(request, key -> new ArrayDeque<>()).add(new Answer(status, body));
  }

  synchronized List<String> requests() {
    return List.copyOf(requests);
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void serve(HttpExchange exchange) throws IOException {
    String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
    String authorization = exchange.getRequestHeaders().getFirst("Authorization");
    Answer answer = next(request, authorization);
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    String type = answer.body().startsWith("data:") ? "text/event-stream" : "application/json";
    exchange.getResponseHeaders().add("Content-Type", type);
    exchange.sendResponseHeaders(answer.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private synchronized Answer next(String request, String authorization) {
    requests.add(request + (authorization == null ? "" : " " + authorization));
    Deque<Answer> prepared = answers.getOrDefault(request, new ArrayDeque<>());
    Answer first = prepared.size() > 1 ? prepared.poll() : prepared.peek();
    return first == null ? new Answer(404, "{}") : first;
  }

  private record Answer(int status, String body) {}
}
