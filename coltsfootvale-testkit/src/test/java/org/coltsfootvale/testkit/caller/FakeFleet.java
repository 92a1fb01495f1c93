package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.coltsfootvale.testkit.engine.AnswerText;
import org.coltsfootvale.testkit.engine.Message;
import org.coltsfootvale.testkit.engine.Prompt;
import org.coltsfootvale.testkit.support.Fault;
import org.coltsfootvale.testkit.support.Json;
import org.coltsfootvale.testkit.support.ResponseStream;
import org.coltsfootvale.testkit.support.StandInServer;

/** A router and a plain service with run counts in one server, with injectable faults. */
final class FakeFleet extends StandInServer {

  private final AtomicInteger entryAnswers = new AtomicInteger();
  private final AtomicInteger chatRequests = new AtomicInteger();
  private final AtomicInteger keyedRequests = new AtomicInteger();
  private final AtomicInteger prefixes = new AtomicInteger();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Whether a request with a known key is executed again. */
  private volatile boolean repeats;

  FakeFleet() {
    super(0);
  }

  void repeatKeys() {
    repeats = true;
  }

  int chatRequests() {
    return chatRequests.get();
  }

  int keyedRequests() {
    return keyedRequests.get();
  }

  int entryAnswers() {
    return entryAnswers.get();
  }

  @Override
  protected boolean canLoseReply(Context ctx) {
    return ctx.path().startsWith("/v1/services/");
  }

  @Override
  protected void addRoutes(Javalin server) {
    server.get("/v1/entry", this::entry);
    server.get("/counts", ctx -> json(ctx, counts()));
    server.post("/v1/chat/completions", this::complete);
    server.post("/v1/services/*", this::runKeyed);
  }

  private void entry(Context ctx) {
    entryAnswers.incrementAndGet();
    ObjectNode answer = Json.object().put("lifetimeMillis", 60_000);
    answer.put("keyPrefix", "p" + prefixes.incrementAndGet());
    answer.putArray("addresses").add(url());
    json(ctx, answer);
  }

  private ObjectNode counts() {
    ObjectNode answer = Json.object();
    ObjectNode byKey = answer.putObject("counts");
    runs.forEach(byKey::put);
    answer.putObject("calls");
    return answer;
  }

  private void complete(Context ctx) {
    chatRequests.incrementAndGet();
    JsonNode body = Json.parseObject(ctx.body());
    if (faults().consume(Fault.REFUSE)) {
      json(ctx.status(503), Json.object().put("title", "OVERLOADED").put("outcome", "not_run"));
      return;
    }
    List<Message> messages = new ArrayList<>();
    for (JsonNode message : body.path("messages")) {
      messages.add(new Message(message.path("role").asText(), message.path("content").asText()));
    }
    Prompt prompt =
        new Prompt(
            body.path("model").asText(), "", messages, body.path("max_tokens").asInt(), true);
    ctx.contentType("text/event-stream");
    ResponseStream stream = ResponseStream.open(ctx, writers());
    stream.write(chunk(faults().consume(Fault.CROSSED) ? "another" : AnswerText.text(prompt)));
    if (!faults().consume(Fault.TRUNCATED)) {
      stream.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    }
    stream.end();
  }

  private void runKeyed(Context ctx) {
    keyedRequests.incrementAndGet();
    String key = String.valueOf(ctx.header("Idempotency-Key"));
    if (repeats || !runs.containsKey(key)) {
      runs.merge(key, 1, Integer::sum);
    }
    json(ctx, Json.object().put("key", key).put("body", ctx.body()));
  }

  private static byte[] chunk(String text) {
    ObjectNode chunk = Json.object();
    chunk.putArray("choices").addObject().putObject("delta").put("content", text);
    return ("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
