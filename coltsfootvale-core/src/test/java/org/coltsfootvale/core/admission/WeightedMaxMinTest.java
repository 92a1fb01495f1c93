package org.coltsfootvale.core.admission;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

@Test
public class WeightedMaxMinTest {

  private static WeightedMaxMin.Claim claim(double demand, double weight) {
    return new WeightedMaxMin.Claim(demand, weight);
  }

  public void smallDemandsAreMetAndTheRestIsDividedByWeight() {
    Map<String, Double> parts =
        WeightedMaxMin.divide(
            100, Map.of("small", claim(10, 1), "large", claim(500, 1), "heavy", claim(500, 2)));
    assertEquals(parts.getOrDefault("small", -1.0), 10, 1e-9);
    assertEquals(parts.getOrDefault("large", -1.0), 30, 1e-9);
    assertEquals(parts.getOrDefault("heavy", -1.0), 60, 1e-9);
  }

  public void nobodyGetsMoreThanItsDemand() {
    Map<String, Double> parts =
        WeightedMaxMin.divide(100, Map.of("a", claim(10, 1), "b", claim(20, 5)));
    assertEquals(parts, Map.of("a", 10.0, "b", 20.0));
  }
}
