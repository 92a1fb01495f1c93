package org.coltsfootvale.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.routing.RoutedService;
import org.testng.annotations.Test;

/** The requests of all routers of a fleet to one cold replica, without a network. */
@Test(singleThreaded = true)
public class ColdFleetTest extends DispatcherFixture {

  private static final ColdOptions OPTIONS = new ColdOptions(1.5, 5);
  private static final double PER_SECOND = 8.5;
  private static final double BOUND = PER_SECOND * 1.5 + 5;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final Duration COLD = Duration.ofSeconds(10);
  private static final RoutedService SERVICE =
      new RoutedService("service", 10, false, COLD, PER_SECOND);

  private ColdAdmission admission(String id, List<String> view) {
    return new ColdAdmission(
        OPTIONS, id, () -> view, () -> Optional.of(SERVICE), () -> now.get(), decision -> {});
  }

  private static List<String> fleet(int first, int last) {
    return IntStream.range(first, last).mapToObj(i -> "router-" + i).toList();
  }

  @Test
  public void theShareIsAnEighthOfTheBoundAndOneFromABoundOfFour() {
    assertEquals(OPTIONS.share(PER_SECOND), 2);
    assertEquals(new ColdOptions(1, 0).share(4), 1);
    assertEquals(new ColdOptions(1, 0).share(3.99), 0);
    assertEquals(new ColdOptions(2, 0).share(8), 2);
  }

  /** Guards against more than the bound from routers that do not hear each other. */
  @Test
  public void allRoutersOfALargeFleetTogetherStayWithinTheBound() {
    List<String> all = fleet(0, 58);
    assertTrue(greatestInASecond(all, all, 1) <= BOUND);
  }

  /** Guards against two halves of a fleet that read different advertisements. */
  @Test
  public void twoViewsOfTheFleetTogetherStayWithinTheBound() {
    for (int seed = 0; seed < 20; seed++) {
      int greatest = greatestInASecond(fleet(seed, seed + 29), fleet(seed + 29, seed + 58), seed);
      assertTrue(greatest <= BOUND, "seed " + seed + ": " + greatest);
      assertTrue(greatest > 4, "seed " + seed + ": " + greatest);
    }
  }

  /**
   * Lets the routers of two views send as often as they may for 5 s, and returns the most requests
   * that reached the replica in a second. Each takes up to 250 ms to arrive.
   */
  private int greatestInASecond(List<String> first, List<String> second, long seed) {
    Random random = new Random(seed);
    List<ColdAdmission> admissions = new ArrayList<>();
    first.forEach(id -> admissions.add(admission(id, first)));
    if (second != first) {
      second.forEach(id -> admissions.add(admission(id, second)));
    }
    Replica replica = ColdAdmissionTest.cold(0, 1, COLD);
    admissions.forEach(admission -> admission.onEntry(replica));
    List<Long> arrivals = new ArrayList<>();
    for (int step = 0; step < 500; step++) {
      for (ColdAdmission admission : admissions) {
        TestRequest request = new TestRequest(withoutPrompt(1, 1_000));
        while (admission.admits(replica) && admission.admitSend(replica, request)) {
          arrivals.add(now.get() + random.nextInt(250) * MILLI);
          admission.onAttemptEnded(replica, request);
        }
      }
      now.addAndGet(10 * MILLI);
    }
    return arrivals.stream()
        .mapToInt(
            start ->
                (int) arrivals.stream().filter(at -> at >= start && at < start + SECOND).count())
        .max()
        .orElse(0);
  }
}
