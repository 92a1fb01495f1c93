package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a queue whose requests are evaluated against all replicas again although nothing
 * has changed that could let them in, and against requests that stay queued after such a change.
 */
@Test(singleThreaded = true)
public class BlockedQueueTest extends DispatcherFixture {

  private static final int QUEUED = 200;

  private final AtomicLong clockReads = new AtomicLong();

  @BeforeMethod(dependsOnMethods = "reset")
  void countClockReads() {
    dispatcher =
        new ServiceDispatcher(
            DispatchOptions.defaults(),
            "dc",
            locations,
            peers,
            quarantine,
            () -> {
              clockReads.incrementAndGet();
              return now.get();
            },
            RandomSource.SPLIT_MIX_64.create(7L),
            ColdAdmission.off());
  }

  @Test
  public void requestsThatExcludeTheOnlyOpenReplicaAreNotEvaluatedAgain() {
    addReplicas(2);
    List<TestRequest> running = fillAll(withoutPrompt(1, 60_000), 2 * SLOTS);
    dispatcher.submit(excluding("r0"));
    release(running, "r0");
    long readsWithOneQueued = clockReadsOfPlacing();
    for (int i = 1; i < QUEUED; i++) {
      dispatcher.submit(excluding("r0"));
    }
    assertEquals(clockReadsOfPlacing(), readsWithOneQueued);
    assertEquals(dispatcher.waiting(), QUEUED);
    release(running, "r1");
    assertEquals(dispatcher.waiting(), QUEUED - 1);
  }

  @Test
  public void promptsAreNotEvaluatedWhileReplicasAreOpenOnlyForOtherRequests() {
    addReplicas(2);
    List<TestRequest> running = fillAll(prompt("part", SHORT_PREFIX_TOKENS), SLOTS);
    dispatcher.submit(new TestRequest(prompt("part", SHORT_PREFIX_TOKENS)));
    long readsWithOneQueued = clockReadsOfPlacing();
    for (int i = 1; i < QUEUED; i++) {
      dispatcher.submit(new TestRequest(prompt("part", SHORT_PREFIX_TOKENS)));
    }
    assertEquals(clockReadsOfPlacing(), readsWithOneQueued);
    assertEquals(dispatcher.waiting(), QUEUED);
    release(running, "r0");
    assertEquals(dispatcher.waiting(), QUEUED - 1);
  }

  @Test
  public void aQueuedRequestIsPlacedOnceAnExpiredReportOrSuspensionOpensAReplica() {
    addReplicas(1);
    dispatcher.onLoadReport(state("r0"), new LoadReport(2 * SLOTS, 0, SLOTS));
    TestRequest reported = new TestRequest(withoutPrompt(1, 60_000));
    dispatcher.submit(reported);
    dispatcher.placeWaiting();
    assertEquals(reported.placements, 0);
    advance(1_501);
    dispatcher.placeWaiting();
    assertEquals(reported.placements, 1);
    Duration suspension = state("r0").health().onConnectionFailure();
    TestRequest suspended = new TestRequest(withoutPrompt(1, 60_000));
    dispatcher.submit(suspended);
    dispatcher.placeWaiting();
    assertEquals(suspended.placements, 0);
    advance(suspension.toMillis());
    dispatcher.placeWaiting();
    assertEquals(suspended.placements, 1);
  }

  @Test
  public void eachQueuedRequestIsRefusedAtTheEndOfItsOwnWaitingTime() {
    addReplicas(1);
    fillAll(withoutPrompt(1, 60_000), 2 * SLOTS);
    List<TestRequest> queued = new ArrayList<>();
    for (long goalMillis : new long[] {800, 200, 600, 400}) {
      TestRequest request = new TestRequest(withoutPrompt(1, goalMillis));
      dispatcher.submit(request);
      queued.add(request);
    }
    dispatcher.cancel(queued.get(1));
    for (int millis = 1; millis <= 400; millis++) {
      advance(1);
      dispatcher.placeWaiting();
      assertEquals(queued.get(3).refusal.isPresent(), millis >= 200, "after " + millis);
      assertEquals(queued.get(2).refusal.isPresent(), millis >= 300, "after " + millis);
      assertEquals(queued.get(0).refusal.isPresent(), millis >= 400, "after " + millis);
    }
    assertTrue(queued.get(1).refusal.isEmpty());
  }

  private List<TestRequest> fillAll(Spec spec, int requestsPerReplica) {
    List<TestRequest> running = new ArrayList<>();
    for (int i = 0; i < dispatcher.replicas().size() * requestsPerReplica; i++) {
      TestRequest request = new TestRequest(spec);
      dispatcher.submit(request);
      request.placed().onAnswerStarted(request);
      running.add(request);
    }
    return running;
  }

  private TestRequest excluding(String id) {
    TestRequest request = new TestRequest(withoutPrompt(1, 60_000));
    request.exclude(id);
    return request;
  }

  private void release(List<TestRequest> running, String id) {
    TestRequest ended =
        running.stream()
            .filter(request -> request.placed().replica().id().equals(id))
            .findFirst()
            .orElseThrow();
    dispatcher.release(ended.placed());
  }

  private long clockReadsOfPlacing() {
    long before = clockReads.get();
    dispatcher.placeWaiting();
    return clockReads.get() - before;
  }

  private void advance(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
