package org.coltsfootvale.testkit.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import okhttp3.Response;
import okio.BufferedSource;
import org.coltsfootvale.testkit.ManualClock;
import org.coltsfootvale.testkit.TestHttp;
import org.coltsfootvale.testkit.support.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineStandInTest {

  private static final String BODY =
      "{\"model\":\"m\",\"stream\":%s,\"max_tokens\":40,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";

  private TestHttp http = new TestHttp();
  private EngineStandIn engine = new EngineStandIn(EngineOptions.of("e", 0), new ManualClock());

  @BeforeMethod
  public void startEngine() {
    http = new TestHttp();
    engine = newEngine();
    engine.start();
  }

  @AfterMethod
  public void stopEngine() {
    http.close();
    engine.stop();
  }

  @Test
  public void aStreamedAnswerIsTheCompleteTextOfItsPrompt() throws IOException {
    Streamed answer = stream("r1", "hello", Map.of());
    assertEquals(answer.text(), expected("hello"));
    assertTrue(answer.done());
    assertEquals(answer.chunks().get(0).path("id").asText(), "r1");
    JsonNode last = answer.chunks().get(answer.chunks().size() - 1);
    assertEquals(last.path("choices").path(0).path("finish_reason").asText(), "stop");
    assertEquals(last.path("usage").path("prompt_tokens").asInt(), 2);
  }

  @Test
  public void anAnswerThatIsNotStreamedHasTheSameText() throws IOException {
    JsonNode answer = TestHttp.json(complete("r1", "hello", false, Map.of()).body());
    String text = answer.path("choices").path(0).path("message").path("content").asText();
    assertEquals(text, expected("hello"));
  }

  @Test
  public void aSecondTurnOfAChatFindsItsPrefixCached() throws IOException {
    stream("r1", "hello", Map.of("X-Chat", "c1"));
    Streamed second = stream("r2", "hello", Map.of("X-Chat", "c1"));
    assertEquals(cachedTokens(second), 2);
  }

  @Test
  public void anImportedChatIsCachedAtTheOtherEngine() throws IOException {
    stream("r1", "hello", Map.of("X-Chat", "c1"));
    try (EngineStandIn other = newEngine()) {
      other.start();
      String url = other.url() + "/v1/chat/completions";
      Map<String, String> headers = new HashMap<>();
      headers.put("X-Request-Id", "r2");
      headers.put("X-Chat", "c1");
      headers.put("X-Import-From", engine.url());
      JsonNode answer = http.send("POST", url, BODY.formatted("false", "hello"), headers).json();
      JsonNode details = answer.path("usage").path("prompt_tokens_details");
      assertEquals(details.path("cached_tokens").asInt(), 2);
    }
  }

  @Test
  public void aTruncatedStreamIsResumedFromItsOffset() throws IOException {
    engine.faults().arm(Fault.TRUNCATED, 1);
    Streamed first = stream("r1", "hello", Map.of());
    assertFalse(first.done());
    int received = first.chunks().size();
    Streamed rest = stream("r1", "hello", Map.of("X-Resume-Offset", Integer.toString(received)));
    assertTrue(rest.done());
    assertEquals(first.text() + rest.text(), expected("hello"));
    assertEquals(engine.requestRuns("r1"), 1);
  }

  @Test
  public void aResumeOfAnUnknownRequestIsRefused() throws IOException {
    assertEquals(complete("r9", "x", true, Map.of("X-Resume-Offset", "1")).status(), 404);
    assertEquals(engine.requestRuns("r9"), 0);
  }

  @Test
  public void aRefusedOrLeavingEngineRunsNothing() throws IOException {
    engine.faults().arm(Fault.REFUSE, 1);
    TestHttp.Reply full = complete("r1", "hello", true, Map.of());
    assertEquals(full.status(), 503);
    assertEquals(full.json().path("outcome").asText(), "not_run");
    engine.faults().setLeaving(true);
    TestHttp.Reply leaving = complete("r2", "hello", true, Map.of());
    assertEquals(leaving.json().path("reason").asText(), "leaving");
    assertEquals(engine.requestRuns("r1") + engine.requestRuns("r2"), 0);
  }

  @Test
  public void anEngineRefusesRequestsAboveTheOutstandingMaximum() throws IOException {
    TestHttp.Reply refused = complete("r1", "hello", true, Map.of("X-Outstanding-Max", "0"));
    assertEquals(refused.status(), 503);
    assertEquals(refused.json().path("reason").asText(), "full");
    assertEquals(engine.requestRuns("r1"), 0);
    assertEquals(complete("r2", "hello", true, Map.of("X-Outstanding-Max", "1")).status(), 200);
  }

  @Test
  public void aCrossedAnswerCarriesAnotherIdAndText() throws IOException {
    engine.faults().arm(Fault.CROSSED, 1);
    Streamed answer = stream("r1", "hello", Map.of());
    assertFalse(answer.text().equals(expected("hello")));
    assertEquals(answer.chunks().get(0).path("id").asText(), "r1-crossed");
  }

  @Test
  public void aStaleFencingNumberIsRefusedIfChecked() throws IOException {
    assertEquals(order(7).status(), 200);
    TestHttp.Reply stale = order(6);
    assertEquals(stale.status(), 409);
    assertEquals(stale.json().path("seen").asInt(), 7);
    JsonNode state = http.get(engine.url() + "/orders").json();
    assertEquals(state.path("fencing").asInt(), 7);
  }

  @Test
  public void idempotencyKeysAreCountedPerRun() throws IOException {
    complete("r1", "hello", false, Map.of("X-Idempotency-Key", "k"));
    complete("r2", "hello", false, Map.of("X-Idempotency-Key", "k"));
    assertEquals(engine.keyRuns("k"), 2);
  }

  @Test
  public void aSilentConnectionStaysSilentWhileNewOnesWork() throws IOException {
    engine.faults().arm(Fault.SILENT, 1);
    try (TestHttp impatient = TestHttp.withReadTimeoutMillis(200)) {
      assertThrows(IOException.class, () -> impatient.get(engine.url() + "/load"));
    }
    assertEquals(http.get(engine.url() + "/load").status(), 200);
  }

  private static EngineStandIn newEngine() {
    EngineOptions options = EngineOptions.of("e", 0).with(true, 50);
    return new EngineStandIn(options, new ManualClock());
  }

  private TestHttp.Reply order(int fencing) throws IOException {
    String body =
        "{\"fencing\":%d,\"pool\":\"p\",\"target\":{\"modelVersion\":\"v1\"}}".formatted(fencing);
    return http.post(engine.url() + "/orders", body);
  }

  private TestHttp.Reply complete(
      String requestId, String text, boolean stream, Map<String, String> headers)
      throws IOException {
    Map<String, String> all = new HashMap<>(headers);
    all.put("X-Request-Id", requestId);
    return http.send("POST", url(), BODY.formatted(stream, text), all);
  }

  private Streamed stream(String requestId, String text, Map<String, String> headers)
      throws IOException {
    Map<String, String> all = new HashMap<>(headers);
    all.put("X-Request-Id", requestId);
    List<JsonNode> chunks = new ArrayList<>();
    boolean done = false;
    try (Response response = http.open("POST", url(), BODY.formatted(true, text), all)) {
      BufferedSource source = response.body().source();
      while (!done) {
        String line = source.readUtf8LineStrict();
        done = line.equals("data: [DONE]");
        if (line.startsWith("data: {")) {
          chunks.add(TestHttp.json(line.substring("data: ".length())));
        }
      }
    } catch (IOException e) {
      assertFalse(done, "a cut stream has no end marker");
    }
    return new Streamed(chunks, done);
  }

  private String url() {
    return engine.url() + "/v1/chat/completions";
  }

  private static String expected(String text) {
    return AnswerText.text(new Prompt("m", "c", List.of(new Message("user", text)), 40, true));
  }

  private static int cachedTokens(Streamed answer) {
    JsonNode last = answer.chunks().get(answer.chunks().size() - 1);
    return last.path("usage").path("prompt_tokens_details").path("cached_tokens").asInt();
  }

  private record Streamed(List<JsonNode> chunks, boolean done) {

    String text() {
      StringBuilder text = new StringBuilder();
      for (JsonNode chunk : chunks) {
        text.append(chunk.path("choices").path(0).path("delta").path("content").asText());
      }
      return text.toString();
    }
  }
}
