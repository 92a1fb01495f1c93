package org.coltsfootvale.core.admission;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

@Test
public class WeightedMaxMinTest {

  private static WeightedMaxMin.WeightedDemand demand(double demand, double weight) {
    return new WeightedMaxMin.WeightedDemand(demand, weight);
  }

  public void smallDemandsAreSatisfiedAndTheRestIsAllocatedByWeight() {
    Map<String, Double> allocations =
        WeightedMaxMin.allocate(
            100, Map.of("small", demand(10, 1), "large", demand(500, 1), "heavy", demand(500, 2)));
    assertEquals(allocations.getOrDefault("small", -1.0), 10, 1e-9);
    assertEquals(allocations.getOrDefault("large", -1.0), 30, 1e-9);
    assertEquals(allocations.getOrDefault("heavy", -1.0), 60, 1e-9);
  }

  public void noClaimantGetsMoreThanItsDemand() {
    Map<String, Double> allocations =
        WeightedMaxMin.allocate(100, Map.of("a", demand(10, 1), "b", demand(20, 5)));
    assertEquals(allocations, Map.of("a", 10.0, "b", 20.0));
  }
}
