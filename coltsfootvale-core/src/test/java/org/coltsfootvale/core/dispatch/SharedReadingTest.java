package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * The load pattern of many callers that bring the same long document within a moment: it is to be
 * read once, and not by each of them beside the others.
 */
@Test(singleThreaded = true)
public class SharedReadingTest extends DispatcherFixture {

  @Test
  public void aPartThatIsJustBeingReadIsWaitedForAndNotReadAgain() {
    addReplicas(4);
    Held first = submitted(prompt("document", LONG));
    Held second = submitted(prompt("document", LONG));
    assertEquals(dispatcher.waiting(), 1);
    pass(190);
    dispatcher.placeWaiting();
    assertEquals(second.placed(), first.placed());
    assertEquals(second.placement().cached().heldTokens(), LONG);
  }

  @Test
  public void theReadingOfAnotherRouterIsWaitedForToo() {
    addReplicas(4);
    ReplicaState holder = state("r2");
    Held first = submitted(prompt("document", LONG));
    long part = first.sharedParts().get(0).hash();
    PromptLocations elsewhere = locations();
    locations = elsewhere;
    dispatcher = create();
    addReplicas(4);
    elsewhere.heard(new PromptLocations.Placed(part, holder.cacheHash()));
    Held second = submitted(prompt("document", LONG));
    assertEquals(dispatcher.waiting(), 1);
    pass(190);
    dispatcher.placeWaiting();
    assertEquals(second.placed().replica().id(), "r2");
  }

  @Test
  public void aShortPartIsNotWaitedFor() {
    addReplicas(4);
    submitted(prompt("note", SHORT));
    submitted(prompt("note", SHORT));
    assertEquals(dispatcher.waiting(), 0);
  }

  @Test
  public void aRequestWaitsForAReadingNoLongerThanItMayWaitForAReplica() {
    addReplicas(4);
    submitted(prompt("document", 100 * LONG));
    Held second = submitted(prompt("document", 100 * LONG));
    pass(501);
    dispatcher.placeWaiting();
    assertTrue(second.replica != null);
  }

  @Test
  public void partsThatOthersHaveListedAfterAStartAreNotTakenForNewOnes() {
    addReplicas(4);
    locations.complete(false);
    Held first = submitted(prompt("other", LONG));
    long part = first.sharedParts().get(0).hash();
    locations.heard(new PromptLocations.Placed(part, state("r1").cacheHash()));
    locations.complete(true);
    dispatcher.placeWaiting();
    assertEquals(first.placed().replica().id(), "r1");
  }

  @Test
  public void theTimeOfAReadingFollowsWhatTheEnginesTake() {
    ReadingSpeed speed = new ReadingSpeed(55);
    long before = speed.nanosFor(LONG);
    for (int i = 0; i < 20; i++) {
      speed.observed(LONG, TimeUnit.MILLISECONDS.toNanos(60));
    }
    assertTrue(speed.nanosFor(LONG) < before / 3, "estimated " + speed.nanosFor(LONG) + " ns");
    for (int i = 0; i < 200; i++) {
      speed.observed(LONG, TimeUnit.MILLISECONDS.toNanos(10_000));
    }
    assertEquals(speed.nanosFor(LONG), 4 * before, before / 100.0);
  }

  private Held submitted(Spec spec) {
    Held work = new Held(spec);
    dispatcher.submit(work);
    return work;
  }

  private void pass(long millis) {
    now.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
