package org.coltsfootvale.router.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.router.caller.StubEngine.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests entry answers, health and draining. */
public class EntryAndDrainTest {

  @SuppressWarnings("NullAway.Init")
  private ServingFixture fixture;

  @BeforeMethod
  public void start() throws Exception {
    fixture = new ServingFixture(20_000);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    fixture.close();
  }

  @Test
  public void anEntryAnswerContainsAddressesLifetimeAndKeyPrefix() throws Exception {
    String expected =
        "{\"addresses\":[\"http://10.0.0.1:80\",\"http://10.0.0.2:80\"],"
            + "\"lifetimeMillis\":30000,\"keyPrefix\":\"r1\"}";
    assertEquals(fixture.send(fixture.request("/v1/entry").GET()).body(), expected);
  }

  @Test
  public void aKeyPrefixStatesItsLifetime() throws Exception {
    String expected = "{\"keyPrefix\":\"r1\",\"expiresInMillis\":600000}";
    assertEquals(fixture.send(fixture.request("/v1/key-prefix").GET()).body(), expected);
  }

  @Test
  public void aRouterWithoutFleetStateRefusesRequests() throws Exception {
    fixture.ready = false;
    assertEquals(fixture.send(fixture.request("/health").GET()).statusCode(), 503);
    HttpResponse<String> answer = fixture.send(fixture.chat(false));
    assertTrue(answer.body().contains("NOT_READY"), answer.body());
  }

  @Test
  public void aDrainingRouterServesAndSetsAskAgain() throws Exception {
    fixture.drain.begin();
    HttpResponse<String> answer = fixture.send(fixture.chat(true));
    assertEquals(answer.statusCode(), 200);
    assertEquals(answer.headers().firstValue("Coltsfootvale-Ask-Again").orElse(""), "true");
  }

  @Test
  public void aClosedDrainCompletesRunningRequestsAndRefusesNewOnes() throws Exception {
    fixture.first.faults.add(Fault.HELD);
    CompletableFuture<HttpResponse<String>> running =
        fixture.client.sendAsync(fixture.chat(true).build(), HttpResponse.BodyHandlers.ofString());
    fixture.first.held.await();
    CompletableFuture<Void> finished = fixture.drain.close();
    HttpResponse<String> refused = fixture.send(fixture.chat(true));
    assertTrue(refused.body().contains("SHUTTING_DOWN"), refused.body());
    assertFalse(finished.isDone());
    fixture.first.released.countDown();
    assertTrue(running.get().body().endsWith("data: [DONE]\n\n"));
    finished.get();
  }

  @Test
  public void moreRequestsThanTheLimitAreRefused() throws Exception {
    for (int i = 0; i < 64; i++) {
      fixture.drain.enter();
    }
    HttpResponse<String> refused = fixture.send(fixture.chat(true));
    assertEquals(refused.statusCode(), 503);
    assertEquals(refused.headers().firstValue("Retry-After").orElse(""), "1");
    assertTrue(refused.body().contains("\"outcome\":\"not_run\""), refused.body());
  }
}
