package org.coltsfootvale.router.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.router.caller.StubService.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests to plain services, including those that must not be repeated. */
public class ServiceServingTest {

  @SuppressWarnings("NullAway.Init")
  private ServingFixture fixture;

  @BeforeMethod
  public void start() throws Exception {
    fixture = new ServingFixture();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    fixture.close();
  }

  private HttpRequest.Builder keyed(String key) {
    return fixture
        .booking()
        .header("Coltsfootvale-No-Repeat", "true")
        .header("Idempotency-Key", key);
  }

  @Test
  public void aRequestAndItsAnswerArePassedUnchanged() throws Exception {
    HttpResponse<String> answer =
        fixture.send(fixture.booking().header("X-Site", "Monza").header("X-Organisation", "roof"));
    assertEquals(answer.statusCode(), 201);
    assertEquals(answer.body(), "run 1");
    assertEquals(answer.headers().firstValue("X-Service").orElse(""), "crane");
    assertEquals(answer.headers().allValues("Set-Cookie").size(), 2);
    assertEquals(answer.headers().allValues("Date").size(), 1);
    assertEquals(answer.headers().allValues("Content-Type").size(), 0);
    StubService.ReceivedRequest seen = fixture.service.receivedRequests.element();
    assertEquals(seen.method(), "POST");
    assertEquals(seen.uri(), "/cranes/7?day=mon%20day");
    assertEquals(seen.body(), "slot 3");
    assertEquals(seen.headers().getFirst("X-Site"), "Monza");
    assertEquals(String.valueOf(seen.headers().get("X-Organisation")), "[marsh]");
    assertNull(seen.headers().getFirst("Authorization"));
  }

  @Test
  public void aRepeatedKeyGetsTheFirstAnswerByteForByte() throws Exception {
    HttpResponse<String> original = fixture.send(keyed("r1.1"));
    HttpResponse<String> repeated = fixture.send(keyed("r1.1"));
    assertEquals(repeated.statusCode(), original.statusCode());
    assertEquals(repeated.body(), original.body());
    assertEquals(repeated.headers().allValues("Set-Cookie").size(), 2);
    assertEquals(fixture.service.runs.get(), 1);
  }

  @Test
  public void aClaimedKeyRuns() throws Exception {
    assertEquals(fixture.send(keyed("claim-9")).body(), "run 1");
  }

  @Test
  public void aBookingWithALostAnswerHasOutcomeUnknownAndNeverRunsAgain() throws Exception {
    fixture.service.faults.add(Fault.CLOSE_UNANSWERED);
    HttpResponse<String> lost = fixture.send(keyed("r1.1"));
    assertTrue(lost.body().contains("\"outcome\":\"unknown\""), lost.body());
    HttpResponse<String> repeated = fixture.send(keyed("r1.1"));
    assertTrue(repeated.body().contains("\"outcome\":\"unknown\""), repeated.body());
    assertEquals(fixture.service.runs.get(), 1);
  }

  @Test
  public void aRefusalThatAsksForAnImmediateRetryIsNotRepeatedByTheClientLibrary()
      throws Exception {
    fixture.service.faults.add(Fault.UNAVAILABLE_RETRY_NOW);
    HttpResponse<String> answer = fixture.send(keyed("r1.1"));
    assertEquals(answer.statusCode(), 503);
    assertEquals(answer.headers().firstValue("Retry-After").orElse(""), "0");
    assertEquals(fixture.service.runs.get(), 1);
  }

  @Test
  public void aNotRunRefusalAllowsTheKeyToRunLater() throws Exception {
    fixture.service.faults.add(Fault.REFUSE_NOT_RUN);
    HttpResponse<String> refused = fixture.send(keyed("r1.1"));
    assertTrue(refused.body().contains("\"outcome\":\"not_run\""), refused.body());
    assertEquals(fixture.service.runs.get(), 0);
    assertEquals(fixture.send(keyed("r1.1")).body(), "run 1");
  }

  @Test
  public void aLeavingReplicaReceivesNoMoreRequests() throws Exception {
    fixture.service.faults.add(Fault.LEAVING);
    fixture.send(fixture.booking());
    HttpResponse<String> answer = fixture.send(fixture.booking());
    assertTrue(answer.body().contains("NO_BACKEND"), answer.body());
    assertTrue(answer.body().contains("\"outcome\":\"not_run\""), answer.body());
    assertEquals(fixture.service.receivedRequests.size(), 1);
  }

  @Test
  public void aMisdirectedAnswerIsNotPassedOn() throws Exception {
    fixture.service.faults.add(Fault.CROSSED);
    HttpResponse<String> answer = fixture.send(fixture.booking());
    assertEquals(answer.statusCode(), 502);
    assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
  }

  @Test
  public void aKeyRefusedBeforeItsLookupHasOutcomeUnknown() throws Exception {
    fixture.drain.close();
    HttpResponse<String> answer = fixture.send(keyed("r1.1"));
    assertTrue(answer.body().contains("SHUTTING_DOWN"), answer.body());
    assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
  }

  @Test
  public void anExpiredClaimPreventsSending() throws Exception {
    fixture.idempotencyRegistry.claimExpired = true;
    HttpResponse<String> answer = fixture.send(keyed("r1.1"));
    assertTrue(answer.body().contains("\"outcome\":\"not_run\""), answer.body());
    assertEquals(fixture.service.receivedRequests.size(), 0);
    assertEquals(fixture.idempotencyRegistry.ends.toString(), "[notRun]");
  }

  @Test
  public void aTruncatedAnswerIsNeverSilentlyShort() {
    fixture.service.faults.add(Fault.TRUNCATE);
    assertThrows(IOException.class, () -> fixture.send(fixture.booking()));
    assertEquals(fixture.service.runs.get(), 1);
  }

  @Test
  public void aKeyOfAnotherHomeIsForwarded() throws Exception {
    fixture.forwarder =
        (home, request, answer) -> {
          throw ColtsfootvaleException.outcomeUnknown(ErrorKind.HOME_LOST, home + " is gone");
        };
    HttpResponse<String> answer = fixture.send(keyed("r2.1"));
    assertEquals(answer.statusCode(), 502);
    assertTrue(answer.body().contains("r2@7 is gone"), answer.body());
    assertEquals(fixture.service.receivedRequests.size(), 0);
  }

  @Test
  public void aRepeatedChatWithAKeyGetsTheSameStream() throws Exception {
    HttpResponse<String> original =
        fixture.send(fixture.chat(true).header("Idempotency-Key", "r1.5"));
    HttpResponse<String> repeated =
        fixture.send(fixture.chat(true).header("Idempotency-Key", "r1.5"));
    assertEquals(repeated.body(), original.body());
    assertEquals(fixture.first.started.get(), 1);
  }
}
