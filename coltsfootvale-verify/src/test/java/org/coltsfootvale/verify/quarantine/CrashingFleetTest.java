package org.coltsfootvale.verify.quarantine;

import static org.testng.Assert.assertTrue;

import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the rules on prompt parts that crash replicas under generated load. */
public class CrashingFleetTest {

  /** The sends that are allowed after the reaction time. */
  private static final int LATE_SENDS_MAX = 3;

  /** The share of sound requests that has to be let through. */
  private static final double SOUND_SHARE_MIN = 0.5;

  @DataProvider
  static Object[][] loads() {
    return QuarantineCommand.LOADS.stream()
        .map(load -> new Object[] {load.name(), load})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "loads")
  public void fatalRequestsAreStoppedAndSoundOnesAreServed(String name, CrashingFleet.Load load) {
    for (int seed = 0; seed < QuarantineCommand.SEEDS; seed++) {
      CrashingFleet fleet = new CrashingFleet(load, seed, CrashingFleet.Ablation.NONE).run();
      String run = name + ", seed " + seed;
      assertTrue(stopsFatalRequests(fleet), run + ": " + fleet.lateFatalSends() + " sends");
      assertTrue(servesSoundRequests(fleet), run + ": " + fleet.soundRefused() + " refused");
    }
  }

  @Test
  public void withoutSharedEvidenceFatalRequestsAreNotStopped() {
    assertTrue(
        runs(CrashingFleet.Ablation.NO_SHARING).anyMatch(Predicate.not(this::stopsFatalRequests)));
  }

  @Test
  public void withoutClearingByAnswersSoundRequestsAreRefused() {
    assertTrue(
        runs(CrashingFleet.Ablation.NO_CLEARING)
            .anyMatch(Predicate.not(this::servesSoundRequests)));
  }

  private static Stream<CrashingFleet> runs(CrashingFleet.Ablation ablation) {
    CrashingFleet.Load load = QuarantineCommand.LOADS.get(0);
    return IntStream.range(0, QuarantineCommand.SEEDS)
        .mapToObj(seed -> new CrashingFleet(load, seed, ablation).run());
  }

  private boolean stopsFatalRequests(CrashingFleet fleet) {
    return fleet.lateFatalSends() <= LATE_SENDS_MAX;
  }

  private boolean servesSoundRequests(CrashingFleet fleet) {
    return fleet.soundSent() >= SOUND_SHARE_MIN * (fleet.soundSent() + fleet.soundRefused());
  }
}
