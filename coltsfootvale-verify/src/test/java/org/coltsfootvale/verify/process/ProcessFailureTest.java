package org.coltsfootvale.verify.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.coltsfootvale.testkit.support.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProcessFailureTest {

  private static final double ENGINE_TIME_SCALE = 4;
  private static final long SERVICE_MILLIS = 800;
  private static final String DONE = "data: [DONE]";

  private ProcessFleet fleet;

  @BeforeMethod
  public void startFleet() throws Exception {
    fleet = ProcessFleet.start(ENGINE_TIME_SCALE, SERVICE_MILLIS);
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    if (fleet != null) {
      fleet.close();
    }
  }

  @Test
  public void aSightingWhoseHomeIsKilledBeforeTheAnswerNeverRunsTwice() throws Exception {
    RouterProcess home = fleet.routers.get(0);
    String key = fleet.newKey(home, 1);
    CompletableFuture<HttpReply> first = ProcessFleet.async(() -> fleet.sendSighting(home, key));
    ProcessFleet.await("the sighting is running", () -> fleet.service.runs(key) == 1);
    home.kill();
    assertEquals(first.get().status(), 0, first.get().body());

    HttpReply second = fleet.sendSighting(fleet.routers.get(1), key);
    assertEquals(second.outcome(), "unknown", second.body());
    home.restart();
    fleet.awaitReady(home);
    HttpReply third = fleet.sendSighting(home, key);
    assertEquals(third.outcome(), "unknown", third.body());
    assertEquals(fleet.service.runs(key), 1);
  }

  @Test
  public void aSightingWhoseHomeIsSuspendedAndResumedNeverRunsTwice() throws Exception {
    RouterProcess home = fleet.routers.get(0);
    RouterProcess other = fleet.routers.get(1);
    String key = fleet.newKey(home, 1);
    home.suspend();
    HttpReply whileSuspended = fleet.sendSighting(other, key);
    assertFalse(whileSuspended.status() == 200, whileSuspended.body());
    home.resume();
    fleet.awaitReady(home);
    HttpReply afterwards = fleet.sendSighting(other, key);
    assertTrue(fleet.service.runs(key) <= 1, afterwards.body());
  }

  @Test
  public void aKeyWithoutAHomeDoesNotRunWhileThePlatformIsDown() throws Exception {
    fleet.platform.faults().update(json("{\"outage\":true}"));
    HttpReply refused = fleet.sendSighting(fleet.routers.get(0), "a-key-without-a-home");
    assertEquals(refused.status(), 503, refused.body());
    assertEquals(refused.outcome(), "unknown", refused.body());
    assertEquals(fleet.service.runs("a-key-without-a-home"), 0);
    String keyWithHome = fleet.newKey(fleet.routers.get(1), 1);
    assertEquals(fleet.sendSighting(fleet.routers.get(2), keyWithHome).status(), 200);
    assertTrue(fleet.sendChat(fleet.routers.get(0), "c1", 5).body().contains(DONE));
    fleet.platform.faults().clear();
    ProcessFleet.await(
        "the key runs after the outage",
        () -> fleet.sendSighting(fleet.routers.get(0), "a-key-without-a-home").status() == 200);
    assertEquals(fleet.service.runs("a-key-without-a-home"), 1);
  }

  @Test
  public void aRouterReplacedWithEmptyMemoryServesOnlyAtTheNewestRevision() throws Exception {
    RouterProcess replaced = fleet.routers.get(2);
    replaced.kill();
    assertEquals(fleet.submit(0, FleetDocuments.modelNote("second", "tags")).status(), 201);
    replaced.restart();
    fleet.awaitReady(replaced);
    assertEquals(fleet.state(replaced).path("releaseRevision").asInt(), 2);
    fleet.awaitInForce("second");
  }

  @Test
  public void ofTwoConflictingNotesOneIsAcceptedAndTheOtherLeavesNoTrace() throws Exception {
    String one = FleetDocuments.modelNote("operator-a", "contested");
    String other = FleetDocuments.modelNote("operator-b", "contested");
    CompletableFuture<HttpReply> first = ProcessFleet.async(() -> fleet.submit(0, one));
    CompletableFuture<HttpReply> second = ProcessFleet.async(() -> fleet.submit(1, other));
    List<Integer> statuses = new ArrayList<>(List.of(first.get().status(), second.get().status()));
    statuses.sort(null);
    assertEquals(statuses, List.of(201, 409), first.get().body() + second.get().body());
    String accepted = first.get().status() == 201 ? "operator-a" : "operator-b";
    fleet.awaitInForce(accepted);
    for (RouterProcess router : fleet.routers) {
      assertEquals(fleet.state(router).path("releaseRevision").asInt(), 2);
    }
  }

  @Test
  public void aPlannedStopUnderLoadCutsOffNoRequestOfCallersThatHoldAnOldEntryAnswer()
      throws Exception {
    RouterProcess leaving = fleet.routers.get(0);
    AtomicBoolean stop = new AtomicBoolean();
    List<CompletableFuture<List<HttpReply>>> callers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String chat = "chat-" + i;
      callers.add(ProcessFleet.async(() -> chatUntil(stop, chat)));
    }
    ProcessFleet.await(
        "requests are in progress",
        () -> fleet.state(leaving).path("requestsInProgress").asInt() > 0);
    leaving.terminate();
    ProcessFleet.await(
        "the entry answers of another router no longer name it",
        () -> !fleet.get(fleet.routers.get(1), "/v1/entry").body().contains(leaving.url()));
    stop.set(true);
    for (CompletableFuture<List<HttpReply>> caller : callers) {
      for (HttpReply reply : caller.get()) {
        assertEquals(reply.status(), 200, reply.body());
        assertTrue(reply.body().contains(DONE), reply.body());
      }
    }
    assertTrue(leaving.awaitExit());
    assertTrue(leaving.log().contains("router stopped with 0 requests in progress"));
  }

  @Test
  public void anEngineThatTheHostListCallsLeavingReceivesNoNewWork() throws Exception {
    fleet.markEngineLeaving(0);
    for (RouterProcess router : fleet.routers) {
      fleet.awaitEngines(router, "LEAVING", 1);
    }
    int before = fleet.acceptedRequests(0);
    for (int i = 0; i < 12; i++) {
      HttpReply reply = fleet.sendChat(fleet.routers.get(i % 3), "chat-" + i, 3);
      assertTrue(reply.body().contains(DONE), reply.body());
    }
    assertEquals(fleet.acceptedRequests(0), before);
  }

  @Test
  public void aReplicaThatTheHostListCallsLeavingReceivesNoNewWork() throws Exception {
    RouterProcess router = fleet.routers.get(0);
    assertEquals(fleet.sendSighting(router, fleet.newKey(router, 1)).status(), 200);
    fleet.markServiceLeaving();
    for (RouterProcess each : fleet.routers) {
      ProcessFleet.await(
          each.id() + " stops sending to the replica",
          () -> fleet.sendSighting(each, fleet.newKey(each, 2)).status() == 503);
    }
    String key = fleet.newKey(router, 3);
    HttpReply refused = fleet.sendSighting(router, key);
    assertEquals(refused.outcome(), "not_run", refused.body());
    assertEquals(fleet.service.runs(key), 0);
  }

  @Test
  public void aStreamThatFallsSilentOrEndsHalfWayIsCompletedToTheSameText() throws Exception {
    String uninterrupted = fleet.sendChat(fleet.routers.get(0), "steady", 40).body();
    for (Fault fault : List.of(Fault.TRUNCATED, Fault.SILENT_STREAM)) {
      fleet.engines.forEach(engine -> engine.faults().arm(fault, 1));
      String resumed = fleet.sendChat(fleet.routers.get(1), "steady", 40).body();
      assertTrue(resumed.contains(DONE), fault + ": " + resumed);
      assertEquals(textOf(resumed), textOf(uninterrupted), fault.toString());
      fleet.engines.forEach(engine -> engine.faults().clear());
    }
  }

  private List<HttpReply> chatUntil(AtomicBoolean stop, String chat) {
    List<HttpReply> replies = new ArrayList<>();
    while (!stop.get()) {
      replies.add(fleet.sendChat(fleet.routers.get(0), chat, 30));
    }
    return replies;
  }

  private static String textOf(String stream) {
    StringBuilder text = new StringBuilder();
    for (String line : stream.split("\n")) {
      if (line.startsWith("data: {")) {
        HttpReply chunk = new HttpReply(200, line.substring("data: ".length()));
        text.append(chunk.json().path("choices").path(0).path("delta").path("content").asText());
      }
    }
    return text.toString();
  }

  private static JsonNode json(String text) {
    return new HttpReply(200, text).json();
  }
}
