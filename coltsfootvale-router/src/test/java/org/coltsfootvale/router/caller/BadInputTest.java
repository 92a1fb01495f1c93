package org.coltsfootvale.router.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Random;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that invalid input is refused with a typed error and never sent to a backend server. */
public class BadInputTest {

  private static final String CHAT = "/v1/chat/completions";
  private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]";

  @SuppressWarnings("NullAway.Init")
  private ServingFixture fixture;

  @BeforeClass
  public void start() throws Exception {
    fixture = new ServingFixture();
  }

  @AfterClass(alwaysRun = true)
  public void stop() {
    fixture.close();
  }

  @DataProvider
  public Object[][] wrongBodies() {
    return new Object[][] {
      {"{\"model\":", "MALFORMED_REQUEST", 400},
      {"", "MALFORMED_REQUEST", 400},
      {"[1]", "MALFORMED_REQUEST", 400},
      {"{" + MESSAGES + "}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-1\"}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-1\",\"messages\":[{}]}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-1\",\"stream\":1," + MESSAGES + "}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-1\",\"max_tokens\":0," + MESSAGES + "}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-1\"," + MESSAGES + "} {}", "MALFORMED_REQUEST", 400},
      {"{\"model\":\"notes-9\"," + MESSAGES + "}", "UNKNOWN_MODEL", 404},
      {"{\"model\":\"no such/name\"," + MESSAGES + "}", "UNKNOWN_MODEL", 404},
      {"x".repeat(10_001), "BODY_TOO_LARGE", 413}
    };
  }

  @Test(dataProvider = "wrongBodies")
  public void aWrongChatIsRefused(String body, String kind, int status) throws Exception {
    assertRefused(fixture.request(CHAT).POST(BodyPublishers.ofString(body)), kind, status);
  }

  @DataProvider
  public Object[][] wrongHeaders() {
    return new Object[][] {
      {"Coltsfootvale-Deadline-Millis", "0", "INVALID_DEADLINE", 400},
      {"Coltsfootvale-Deadline-Millis", "600001", "INVALID_DEADLINE", 400},
      {"Coltsfootvale-Deadline-Millis", "soon", "INVALID_DEADLINE", 400},
      {"Coltsfootvale-Deadline-Millis", "-5", "INVALID_DEADLINE", 400},
      {"Coltsfootvale-Class", "urgent", "MALFORMED_REQUEST", 400},
      {"Coltsfootvale-Chat", "x".repeat(201), "MALFORMED_REQUEST", 400},
      {"Coltsfootvale-No-Repeat", "true", "MALFORMED_REQUEST", 400},
      {"Coltsfootvale-No-Repeat", "yes", "MALFORMED_REQUEST", 400},
      {"Coltsfootvale-Continuation", "nonsense", "MALFORMED_REQUEST", 400},
      {"Coltsfootvale-Continuation", "roof|c1|e1|3", "FORBIDDEN", 403},
      {"Idempotency-Key", "bad", "MALFORMED_KEY", 400}
    };
  }

  @Test(dataProvider = "wrongHeaders")
  public void aWrongHeaderIsRefused(String name, String value, String kind, int status)
      throws Exception {
    assertRefused(fixture.chat(false).header(name, value), kind, status);
  }

  @DataProvider
  public Object[][] wrongCredentials() {
    return new Object[][] {{"Bearer nobody"}, {"Basic a2V5"}, {"Bearer "}, {""}};
  }

  @Test(dataProvider = "wrongCredentials")
  public void anUnknownOrganisationIsRefused(String authorization) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fixture.port() + CHAT))
            .header("Authorization", authorization)
            .POST(BodyPublishers.ofString(ServingFixture.body(false)));
    assertRefused(request, "UNAUTHENTICATED", 401);
  }

  @DataProvider
  public Object[][] wrongServicePaths() {
    return new Object[][] {
      {"/v1/services/unknown/x", "x", "UNKNOWN_SERVICE", 404},
      {"/v1/services/booking/x", "x".repeat(1_001), "BODY_TOO_LARGE", 413},
      {"/v1/services/booking/a/%2e%2e/b", "x", "MALFORMED_REQUEST", 400}
    };
  }

  @Test(dataProvider = "wrongServicePaths")
  public void aWrongServiceRequestIsRefused(String path, String body, String kind, int status)
      throws Exception {
    assertRefused(fixture.request(path).POST(BodyPublishers.ofString(body)), kind, status);
  }

  private void assertRefused(HttpRequest.Builder request, String kind, int status)
      throws Exception {
    int sentBefore =
        fixture.first.receivedRequests.size() + fixture.service.receivedRequests.size();
    HttpResponse<String> answer = fixture.send(request);
    assertEquals(answer.statusCode(), status, answer.body());
    assertEquals(
        answer.headers().firstValue("Content-Type").orElse(""), "application/problem+json");
    JsonNode problem = new ObjectMapper().readTree(answer.body());
    assertEquals(problem.path("title").asText(), kind);
    assertEquals(problem.path("outcome").asText(), "not_run");
    assertTrue(problem.path("remedy").asText().length() > 5);
    assertEquals(
        fixture.first.receivedRequests.size() + fixture.service.receivedRequests.size(),
        sentBefore);
  }

  @Test
  public void anExpiredKeyIsRefusedWithAnUnknownOutcome() throws Exception {
    HttpResponse<String> answer =
        fixture.send(fixture.chat(false).header("Idempotency-Key", "old.1"));
    assertEquals(answer.statusCode(), 410);
    assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
  }

  @Test
  public void garbageOnTheCallerPortLeavesTheRouterServing() throws Exception {
    byte[] garbage = new byte[4_096];
    new Random(7).nextBytes(garbage);
    for (int i = 0; i < 5; i++) {
      try (Socket socket = new Socket("127.0.0.1", fixture.port())) {
        OutputStream output = socket.getOutputStream();
        output.write(garbage);
        output.flush();
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
      }
    }
    assertEquals(fixture.send(fixture.chat(false)).statusCode(), 200);
  }
}
