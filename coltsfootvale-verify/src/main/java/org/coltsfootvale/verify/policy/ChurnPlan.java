package org.coltsfootvale.verify.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.coltsfootvale.core.model.Liveness;

/**
 * Schedule of the engines' state changes during a run: crashes, planned departures with a restart,
 * and flapping engines.
 *
 * @param changes the changes in order of time
 */
record ChurnPlan(List<Change> changes) {

  private static final int FLAPS = 6;
  private static final double FLAP_DOWN_MILLIS = 3_000;
  private static final double FLAP_UP_MILLIS = 7_000;

  /** State change of one engine. */
  record Change(double timeMillis, int engine, Liveness to) {}

  /**
   * Generates a plan with two crashes, two planned restarts and one flapping engine per 30 engines.
   */
  static ChurnPlan generate(FleetSize size, long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x5deece66dL);
    List<Change> changes = new ArrayList<>();
    double duration = size.durationMillis();
    int groups = Math.max(1, size.engines() / 30);
    int engine = random.nextInt(size.engines());
    for (int group = 0; group < groups; group++) {
      for (int i = 0; i < 5; i++) {
        engine = (engine + 1) % size.engines();
        double start = duration * (0.1 + 0.8 * (i + random.nextDouble()) / 5);
        addChanges(changes, i, engine, start, duration / 20);
      }
    }
    changes.sort(Comparator.comparingDouble(Change::timeMillis));
    return new ChurnPlan(changes);
  }

  private static void addChanges(
      List<Change> changes, int kind, int engine, double start, double downMillis) {
    if (kind == 4) {
      for (int flap = 0; flap < FLAPS; flap++) {
        double down = start + flap * (FLAP_DOWN_MILLIS + FLAP_UP_MILLIS);
        changes.add(new Change(down, engine, Liveness.DEAD));
        changes.add(new Change(down + FLAP_DOWN_MILLIS, engine, Liveness.LIVE));
      }
      return;
    }
    Liveness first = kind % 2 == 0 ? Liveness.DEAD : Liveness.LEAVING;
    changes.add(new Change(start, engine, first));
    if (first == Liveness.LEAVING) {
      changes.add(new Change(start + downMillis / 2, engine, Liveness.DEAD));
    }
    changes.add(new Change(start + downMillis, engine, Liveness.LIVE));
  }
}
