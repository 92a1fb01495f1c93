package org.coltsfootvale.verify.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.coltsfootvale.core.placement.PlacementOptions;
import org.coltsfootvale.core.release.PolicySpec;
import org.coltsfootvale.core.retry.AttemptFailure.Stage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test
public class PolicyTargetsTest {

  private static final long SEED = 1;
  private static final double REUSE_OF_BOUND_MIN = 0.95;
  private static final double QUICK_SURGE_FACTOR_MAX = 1.3;
  private static final double ATTEMPTS_MAX = 1.1;

  private static PolicyResult run(WorkloadMix mix, FleetSize size, List<Arrival> arrivals) {
    Policies.PlacementPolicy policy =
        Policies.routerPolicy(
            "own", PlacementOptions.DEFAULT, true, LoadSource.REPORTS_AND_COUNTS, true);
    ChurnPlan churn = ChurnPlan.generate(size, SEED);
    return new PolicyRun(policy, size, mix, PolicySpec.DEFAULT, churn, SEED).run(arrivals);
  }

  public void reuseThroughChurnIsNearTheUpperBound() {
    WorkloadMix mix = WorkloadMix.LINTULASKENTA;
    FleetSize size = FleetSize.today(mix);
    List<Arrival> arrivals = new WorkloadGenerator(mix, size, SEED).generate();
    double bound =
        new ReuseUpperBound(size, mix).reuseShare(arrivals, ChurnPlan.generate(size, SEED));
    double reuse = run(mix, size, arrivals).reuseShare();
    assertTrue(reuse >= REUSE_OF_BOUND_MIN * bound, reuse + " of " + bound);
  }

  public void quickQuestionsDoNotWaitBehindASurgeOfLongPrompts() {
    WorkloadMix mix = WorkloadMix.CONSORZIO;
    FleetSize size = FleetSize.today(mix);
    PolicyResult result = run(mix, size, new WorkloadGenerator(mix, size, SEED).generate());
    double factor = result.quickSurgeFirstTokenMillis() / result.quickFirstTokenMillis();
    assertTrue(factor <= QUICK_SURGE_FACTOR_MAX, "factor " + factor);
    assertEquals(result.refusedShare(), 0, 0.001);
  }

  @DataProvider
  Object[][] stages() {
    return new Object[][] {{Stage.NOT_SENT}, {Stage.REFUSED}, {Stage.SENT}, {Stage.PARTIAL}};
  }

  @Test(dataProvider = "stages")
  public void anOutageIsNotAmplified(Stage stage) {
    assertTrue(new OutageRun(stage, false, SEED).attemptsPerRequest() <= ATTEMPTS_MAX);
    assertTrue(new OutageRun(stage, true, SEED).attemptsPerRequest() <= ATTEMPTS_MAX);
  }
}
