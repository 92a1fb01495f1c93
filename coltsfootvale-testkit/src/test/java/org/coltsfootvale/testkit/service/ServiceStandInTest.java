package org.coltsfootvale.testkit.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import org.coltsfootvale.testkit.TestHttp;
import org.coltsfootvale.testkit.support.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServiceStandInTest {

  private TestHttp http = new TestHttp();
  private ServiceStandIn service = new ServiceStandIn("s1", 0, 0);

  @BeforeMethod
  public void startService() {
    http = new TestHttp();
    service = new ServiceStandIn("s1", 0, 0);
    service.start();
  }

  @AfterMethod
  public void stopService() {
    http.close();
    service.stop();
  }

  @Test
  public void anAnswerEchoesTheRequest() throws IOException {
    JsonNode answer = send("PUT", "/stock/7?site=x", "{\"n\":1}", "k1").json();
    assertEquals(answer.path("method").asText(), "PUT");
    assertEquals(answer.path("path").asText(), "/stock/7");
    assertEquals(answer.path("query").asText(), "site=x");
    assertEquals(answer.path("body").asText(), "{\"n\":1}");
    assertEquals(answer.path("run").asInt(), 1);
  }

  @Test
  public void everyRunOfAKeyIsCounted() throws IOException {
    send("POST", "/bookings", "{}", "k1");
    send("POST", "/bookings", "{}", "k1");
    JsonNode counts = http.get(service.url() + "/counts").json().path("counts");
    assertEquals(counts.path("k1").asInt(), 2);
  }

  @Test
  public void aLostReplyCountsAsRun() {
    service.faults().arm(Fault.REPLY_LOST, 1);
    assertThrows(IOException.class, () -> send("POST", "/bookings", "{}", "k1"));
    assertEquals(service.runs("k1"), 1);
  }

  @Test
  public void aRefusalSaysNotRunAndIsNotCounted() throws IOException {
    service.faults().arm(Fault.REFUSE, 1);
    TestHttp.Reply reply = send("POST", "/bookings", "{}", "k1");
    assertEquals(reply.status(), 503);
    assertEquals(reply.json().path("outcome").asText(), "not_run");
    assertEquals(service.runs("k1"), 0);
  }

  private TestHttp.Reply send(String method, String path, String body, String key)
      throws IOException {
    return http.send(method, service.url() + path, body, Map.of("Idempotency-Key", key));
  }
}
