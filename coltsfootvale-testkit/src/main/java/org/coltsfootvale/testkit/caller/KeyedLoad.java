package org.coltsfootvale.testkit.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.coltsfootvale.testkit.support.Json;

/**
 * Sends requests that must not be executed twice, each with its own key, and retries them with the
 * same key until they succeed or the attempts are exhausted.
 */
final class KeyedLoad {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int ATTEMPTS_MAX = 6;
  private static final long RETRY_MILLIS = 300;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final CallersContext context;
  private final AtomicLong lastRequest = new AtomicLong();
  private final AtomicInteger openCount = new AtomicInteger();
  private final Map<String, String> finalOutcomes = new ConcurrentHashMap<>();

  KeyedLoad(CallersContext context) {
    this.context = context;
  }

  /** Starts sending at the planned rate. */
  void start() {
    long everyMillis = (long) (MILLIS_PER_SECOND / context.plan().keyed().perSecond());
    var unused =
        context
            .timers()
            .scheduleAtFixedRate(this::startRequest, 0, everyMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns the number of requests in progress. */
  int openCount() {
    return openCount.get();
  }

  /** Returns the last known outcome of each key: done, not run or unknown. */
  Map<String, String> finalOutcomes() {
    return Map.copyOf(finalOutcomes);
  }

  private void startRequest() {
    if (context.deadline().passed()) {
      return;
    }
    long number = lastRequest.incrementAndGet();
    List<EntryAnswerCache> entries = context.entries();
    EntryAnswerCache entry = entries.get((int) (number % entries.size()));
    Optional<String> key = entry.newKey();
    if (key.isEmpty()) {
      context.statistics().count("keyed", "no key");
      return;
    }
    openCount.incrementAndGet();
    List<Plan.Organisation> organisations = context.plan().organisations();
    Plan.Organisation organisation = organisations.get((int) (number % organisations.size()));
    List<String> paths = context.plan().keyed().paths();
    String path = paths.get((int) (number % paths.size()));
    String body = Json.write(Json.object().put("number", number));
    send(new KeyedRequest(entry, organisation, path, key.get(), body, 1));
  }

  private void send(KeyedRequest keyed) {
    Optional<String> address = keyed.entry().address();
    if (address.isEmpty()) {
      retryOrFinish(keyed, "unreachable", RETRY_MILLIS);
      return;
    }
    String url = address.get() + "/v1/services/" + context.plan().keyed().service() + keyed.path();
    Request request =
        new Request.Builder()
            .url(url)
            .header("Authorization", "Bearer " + keyed.organisation().key())
            .header("Idempotency-Key", keyed.key())
            .header("Coltsfootvale-No-Repeat", "true")
            .post(RequestBody.create(keyed.body(), JSON))
            .build();
    context.http().client().newCall(request).enqueue(new ResponseCallback(keyed, address.get()));
  }

  private void retryOrFinish(KeyedRequest keyed, String outcome, long millis) {
    context.statistics().count("keyed", outcome);
    if (keyed.attempts() >= ATTEMPTS_MAX) {
      finish(keyed, outcome.equals("not run") ? "not run" : "unknown");
      return;
    }
    try {
      var unused =
          context.timers().schedule(() -> send(keyed.nextAttempt()), millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException ignored) {
      finish(keyed, "unknown");
    }
  }

  private void finish(KeyedRequest keyed, String outcome) {
    finalOutcomes.put(keyed.key(), outcome);
    openCount.decrementAndGet();
  }

  private void evaluate(KeyedRequest keyed, int status, String body) {
    JsonNode answer = parse(body);
    if (status / 100 == 2) {
      boolean own =
          answer.path("key").asText().equals(keyed.key())
              && answer.path("body").asText().equals(keyed.body());
      context.statistics().count("keyed", own ? "done" : "wrong answer");
      finish(keyed, "done");
      return;
    }
    context.statistics().count("problem", answer.path("title").asText("none"));
    boolean notRun = answer.path("outcome").asText().equals("not_run");
    retryOrFinish(keyed, notRun ? "not run" : "unknown", RETRY_MILLIS);
  }

  private static JsonNode parse(String body) {
    try {
      return Json.parseObject(body);
    } catch (IllegalArgumentException e) {
      return Json.object();
    }
  }

  private record KeyedRequest(
      EntryAnswerCache entry,
      Plan.Organisation organisation,
      String path,
      String key,
      String body,
      int attempts) {

    KeyedRequest nextAttempt() {
      return new KeyedRequest(entry, organisation, path, key, body, attempts + 1);
    }
  }

  private final class ResponseCallback implements Callback {

    private final KeyedRequest keyed;
    private final String address;

    ResponseCallback(KeyedRequest keyed, String address) {
      this.keyed = keyed;
      this.address = address;
    }

    @Override
    public void onFailure(Call call, IOException e) {
      keyed.entry().onFailure(address);
      retryOrFinish(keyed, "connection lost", RETRY_MILLIS);
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        if ("true".equals(response.header("Coltsfootvale-Ask-Again"))) {
          keyed.entry().invalidate();
        }
        evaluate(keyed, response.code(), response.body().string());
      } catch (IOException e) {
        retryOrFinish(keyed, "connection lost", RETRY_MILLIS);
      }
    }
  }
}
