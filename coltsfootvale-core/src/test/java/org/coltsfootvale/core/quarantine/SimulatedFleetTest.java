package org.coltsfootvale.core.quarantine;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the rules on prompt parts that crash replicas under generated load. */
public class SimulatedFleetTest {

  private static final int SEEDS = 60;

  /** The sends that are allowed after the reaction time. */
  private static final int LATE_SENDS_MAX = 3;

  /** The share of sound requests that has to be let through, of what it is without the fault. */
  private static final double SOUND_SHARE_MIN = 0.5;

  @DataProvider
  static Object[][] loads() {
    return new Object[][] {
      {"a few fatal requests", 6, 8, 0.02, 2, 0, 0.0},
      {"many fatal requests", 6, 8, 0.3, 2, 0, 0.0},
      {"a large fleet", 40, 30, 0.05, 2, 0, 0.0},
      {"two replicas", 3, 2, 0.03, 2, 0, 0.0},
      {"hosts that fail together", 6, 8, 0.02, 2, 6, 0.0},
      {"replicas that crash by themselves", 6, 8, 0.02, 2, 2, 0.5},
      {"fatal requests about all subjects", 6, 8, 0.1, 30, 0, 0.0},
      {"all subjects, a large fleet", 40, 30, 0.1, 30, 2, 0.5},
      {"no fatal request", 6, 8, 0.0, 2, 6, 1.0},
    };
  }

  @Test(dataProvider = "loads")
  public void fatalRequestsAreStoppedAndSoundOnesAreServed(
      String name,
      int routers,
      int replicas,
      double fatalShare,
      int fatalSubjects,
      int massCrashes,
      double crashes) {
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet =
          run(
              seed,
              routers,
              replicas,
              fatalShare,
              fatalSubjects,
              massCrashes,
              crashes,
              SimulatedFleet.Ablation.NONE);
      String run = name + ", seed " + seed;
      assertTrue(
          fleet.lateFatalSends() <= LATE_SENDS_MAX, run + ": " + fleet.lateFatalSends() + " sends");
      assertTrue(
          fleet.soundSent >= SOUND_SHARE_MIN * (fleet.soundSent + fleet.soundRefused),
          run + ": " + fleet.soundRefused + " sound requests refused, sent " + fleet.soundSent);
    }
  }

  @Test
  public void withoutSharedEvidenceFatalRequestsAreNotStopped() {
    long broken = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = run(seed, 6, 8, 0.02, 2, 0, 0, SimulatedFleet.Ablation.NO_SHARING);
      broken += fleet.lateFatalSends() > LATE_SENDS_MAX ? 1 : 0;
    }
    assertTrue(broken > 0, "no seed shows that evidence has to be shared");
  }

  @Test
  public void withoutExonerationSoundRequestsAreRefused() {
    long broken = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = run(seed, 6, 8, 0.02, 2, 0, 0, SimulatedFleet.Ablation.NO_EXONERATION);
      broken += fleet.soundSent < SOUND_SHARE_MIN * (fleet.soundSent + fleet.soundRefused) ? 1 : 0;
    }
    assertTrue(broken > 0, "no seed shows that answers have to clear parts");
  }

  private static SimulatedFleet run(
      long seed,
      int routers,
      int replicas,
      double fatalShare,
      int fatalSubjects,
      int massCrashes,
      double ownCrashes,
      SimulatedFleet.Ablation ablation) {
    return new SimulatedFleet(
            new SimulatedFleet.Load(
                seed, routers, replicas, fatalShare, fatalSubjects, massCrashes, ownCrashes),
            ablation)
        .run();
  }
}
