package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootvale.core.decision.Decision;
import org.coltsfootvale.core.decision.DecisionEvent;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.routing.RoutedService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Limits on the requests of one router to cold replicas. */
@Test(singleThreaded = true)
public class ColdAdmissionTest extends DispatcherFixture {

  private static final ColdOptions OPTIONS = new ColdOptions(1.5, 5);
  private static final double PER_SECOND = 8.5;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final Duration COLD = Duration.ofSeconds(10);
  private static final RoutedService SERVICE =
      new RoutedService("service", 10, false, COLD, PER_SECOND);

  private List<Decision> decisions = new ArrayList<>();
  private List<String> routers = List.of("self");
  private Optional<RoutedService> service = Optional.of(SERVICE);
  private ColdOptions options = OPTIONS;

  @BeforeMethod
  void resetCold() {
    decisions = new ArrayList<>();
    routers = List.of("self");
    service = Optional.of(SERVICE);
    options = OPTIONS;
    dispatcher = create();
  }

  @Override
  ColdAdmission coldAdmission() {
    return new ColdAdmission(
        options == null ? OPTIONS : options,
        "self",
        () -> routers,
        () -> service,
        () -> now.get(),
        decision -> decisions.add(decision));
  }

  static Replica cold(int index, long startedMillis, Duration left) {
    Replica warm = replica(index);
    return new Replica(
        warm.id(),
        startedMillis,
        warm.service(),
        warm.address(),
        warm.dataCentre(),
        warm.slots(),
        false,
        left);
  }

  /** Submits a request and sends it if it was placed; returns whether it was sent. */
  private boolean send() {
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    boolean sent = request.placements > 0 && request.placed().admitSend(request);
    dispatcher.cancel(request);
    if (request.placements > 0) {
      request.placed().onAttemptEnded(request);
      dispatcher.release(request.placed());
    }
    return sent;
  }

  private int sendMany() {
    return (int) IntStream.range(0, 50).filter(i -> send()).count();
  }

  private void advance(Duration time) {
    now.addAndGet(time.toNanos());
  }

  /** Guards against routers that start all at once and each take themselves for the only one. */
  @Test
  public void aRouterThatHasNotReadTheAdvertisementsSendsNone() {
    routers = List.of();
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(sendMany(), 0);
    routers = List.of("self");
    assertEquals(sendMany(), 2);
  }

  /** Guards against a restarted router that counts the cold time from another moment. */
  @Test
  public void aRouterWithEmptyStateCountsTheColdTimeFromTheReceiptOfTheEntry() {
    advance(Duration.ofSeconds(7));
    dispatcher.addReplica(cold(0, 1, COLD));
    advance(COLD.minusMillis(1));
    assertEquals(sendMany(), 2);
    advance(Duration.ofMillis(1));
    assertEquals(sendMany(), 50);
  }

  @Test
  public void theWindowOpensAfterItsLength() {
    dispatcher.addReplica(cold(0, 1, COLD));
    assertTrue(send());
    advance(Duration.ofMillis(600));
    assertEquals(sendMany(), 1);
    advance(Duration.ofMillis(649));
    assertEquals(sendMany(), 0);
    advance(Duration.ofMillis(1));
    assertEquals(sendMany(), 1);
  }

  @Test
  public void requestsGoToWarmReplicasBeyondTheShare() {
    dispatcher.addReplica(cold(0, 1, COLD));
    dispatcher.addReplica(replica(1));
    assertEquals(sendMany(), 50);
    assertTrue(state("r0").cold());
    assertFalse(state("r1").cold());
  }

  /** Guards against a window that starts anew with each incarnation. */
  @Test
  public void aRestartUnderTheSameIdKeepsTheWindow() {
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(sendMany(), 2);
    dispatcher.removeReplica(cold(0, 1, COLD));
    dispatcher.addReplica(cold(0, 2, COLD));
    assertEquals(sendMany(), 0);
  }

  @Test
  public void aLaterStartReplacesTheColdTime() {
    dispatcher.addReplica(cold(0, 1, COLD));
    dispatcher.addReplica(cold(0, 2, Duration.ZERO));
    assertFalse(state("r0").cold());
  }

  /** Guards against an entry that arrives late and ends the cold time of a restarted replica. */
  @Test
  public void anOlderEntryDoesNotEndTheColdTime() {
    dispatcher.addReplica(cold(0, 2, COLD));
    dispatcher.addReplica(cold(0, 1, Duration.ZERO));
    assertEquals(sendMany(), 2);
    dispatcher.addReplica(cold(0, 2, Duration.ofSeconds(1)));
    advance(Duration.ofSeconds(5));
    assertTrue(state("r0").cold());
  }

  @Test
  public void aRunningReplicaBecomesColdAgainByItsEntry() {
    dispatcher.addReplica(cold(0, 1, Duration.ZERO));
    assertEquals(sendMany(), 50);
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(sendMany(), 2);
  }

  @Test
  public void aReplicaThatLostAConnectionIsColdUntilItsSuspicionEnds() {
    addReplicas(2);
    state("r0").onConnectionRefused();
    advance(COLD.plusMillis(3_199));
    assertTrue(state("r0").cold());
    advance(Duration.ofMillis(1));
    assertFalse(state("r0").cold());
    assertEquals(sendMany(), 50);
  }

  @Test
  public void aLaterStartEndsTheSuspicion() {
    addReplicas(2);
    state("r0").onConnectionRefused();
    dispatcher.addReplica(cold(0, 1, Duration.ZERO));
    assertTrue(state("r0").cold());
    dispatcher.addReplica(cold(0, 2, Duration.ZERO));
    assertFalse(state("r0").cold());
  }

  /** Guards against a router that is cut off and then limits all replicas. */
  @Test
  public void suspicionDoesNotCountWhileMostReplicasAreSuspected() {
    addReplicas(4);
    state("r0").onConnectionRefused();
    state("r1").onConnectionRefused();
    assertTrue(state("r0").cold());
    state("r2").onConnectionRefused();
    assertFalse(state("r0").cold());
    dispatcher.addReplica(cold(0, 1, COLD));
    assertTrue(state("r0").cold(), "an entry counts in any case");
    dispatcher.addReplica(cold(2, 2, Duration.ZERO));
    assertTrue(state("r1").cold());
  }

  /** Guards against requests that are lost, or held forever, while no replica admits them. */
  @Test
  public void withAllReplicasColdRequestsWaitForTheWindowOrAreRefused() {
    dispatcher.addReplica(cold(0, 1, COLD));
    dispatcher.addReplica(cold(1, 1, COLD));
    assertEquals(sendMany(), 4);
    TestRequest first = new TestRequest(withoutPrompt(1, 60_000));
    TestRequest impatient = new TestRequest(withoutPrompt(1, 100));
    dispatcher.submit(first);
    dispatcher.submit(impatient);
    assertEquals(dispatcher.waiting(), 2);
    advance(Duration.ofSeconds(1));
    dispatcher.placeWaiting();
    assertEquals(impatient.refusal.map(Refusal::reason), Optional.of(Refusal.Reason.NO_CAPACITY));
    assertEquals(first.placements, 0);
    advance(Duration.ofMillis(250));
    dispatcher.placeWaiting();
    assertEquals(first.placements, 1);
  }

  /** Guards against requests that wait for connections and are then sent all at once. */
  @Test
  public void placedRequestsUseTheWindowUntilTheyAreSentOrWithdrawn() {
    dispatcher.addReplica(cold(0, 1, COLD));
    TestRequest first = new TestRequest(withoutPrompt(1, 1_000));
    TestRequest second = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(first);
    dispatcher.submit(second);
    advance(Duration.ofSeconds(2));
    assertEquals(sendMany(), 0);
    second.placed().onAttemptEnded(second);
    assertEquals(sendMany(), 1);
    assertTrue(first.placed().admitSend(first));
    advance(Duration.ofMillis(1_249));
    assertEquals(sendMany(), 0);
  }

  @Test
  public void aCountedRequestThatWasNotSentIsGivenBackOnce() {
    dispatcher.addReplica(cold(0, 1, COLD));
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    dispatcher.submit(request);
    assertTrue(request.placed().admitSend(request));
    request.placed().onNotSent(request);
    request.placed().onNotSent(request);
    request.placed().onAttemptEnded(request);
    assertEquals(sendMany(), 2);
    assertEquals(sendMany(), 0);
  }

  /** Guards against a connection that opens after its replica has restarted. */
  @Test
  public void aReplicaThatBecameColdAfterThePlacementIsCheckedBeforeSending() {
    dispatcher.addReplica(cold(0, 1, Duration.ZERO));
    List<TestRequest> placed = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      placed.add(new TestRequest(withoutPrompt(1, 1_000)));
      dispatcher.submit(placed.get(i));
    }
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(placed.stream().filter(request -> request.placed().admitSend(request)).count(), 2);
  }

  @Test
  public void withoutABoundOrAColdServiceNothingIsLimited() {
    service = Optional.of(new RoutedService("service", 10, false, COLD, 0));
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(sendMany(), 50);
    service = Optional.of(new RoutedService("service", 10, false, Duration.ZERO, PER_SECOND));
    state("r0").onConnectionRefused();
    assertEquals(sendMany(), 50);
    service = Optional.empty();
    assertEquals(sendMany(), 50);
    service = Optional.of(SERVICE);
    options = new ColdOptions(0, 5);
    dispatcher = create();
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(sendMany(), 50);
    assertEquals(decisions, List.of());
  }

  /** The monotonic clock has no fixed origin, and its values may overflow. */
  @Test
  public void theOverflowOfTheMonotonicClockChangesNothing() {
    now.set(Long.MAX_VALUE - SECOND);
    ColdAdmission admission = coldAdmission();
    Replica replica = cold(0, 1, COLD);
    admission.onEntry(replica);
    assertTrue(admission.cold(replica));
    TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
    assertTrue(admission.admitSend(replica, request));
    assertTrue(admission.admitSend(replica, request));
    advance(Duration.ofMillis(1_249));
    assertFalse(admission.admits(replica));
    advance(Duration.ofMillis(1));
    assertTrue(admission.admits(replica));
    advance(COLD);
    assertFalse(admission.cold(replica));
  }

  @Test
  public void eachOnsetIsLoggedOnceWithItsCause() {
    addReplicas(2);
    dispatcher.addReplica(cold(0, 1, COLD));
    dispatcher.addReplica(cold(0, 1, COLD));
    assertEquals(decisions.size(), 1);
    assertEquals(decisions.get(0).event(), DecisionEvent.REPLICA_COLD);
    assertEquals(
        decisions.get(0).fields().toString(),
        "{replica=r0, service=service, left_millis=10000, cause=ENTRY, share=2}");
    advance(COLD);
    state("r0").onConnectionRefused();
    assertEquals(decisions.size(), 2);
    assertEquals(decisions.get(1).fields().get("cause"), "CONNECTION_FAILURE");
    assertEquals(decisions.get(1).fields().get("left_millis"), 13_200L);
  }

  /** An entry may be read before the desired state that limits its service. */
  @Test
  public void anEntryReadBeforeTheDesiredStateCounts() {
    service = Optional.empty();
    dispatcher.addReplica(cold(0, 1, COLD));
    service = Optional.of(SERVICE);
    assertEquals(sendMany(), 2);
    assertEquals(decisions.size(), 1);
  }
}
