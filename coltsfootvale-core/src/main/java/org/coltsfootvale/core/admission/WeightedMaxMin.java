package org.coltsfootvale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Weighted max-min fair allocation of a capacity. */
final class WeightedMaxMin {

  private WeightedMaxMin() {}

  /**
   * Allocates a capacity so that no claimant gets more than its demand, and none could get more
   * without taking from a claimant with a smaller allocation per weight.
   *
   * @param capacity the capacity, at least 0
   * @param demands the demand and weight of each claimant
   * @param <K> the claimants
   */
  static <K> Map<K, Double> allocate(double capacity, Map<K, WeightedDemand> demands) {
    List<Map.Entry<K, WeightedDemand>> byDemandPerWeight = new ArrayList<>(demands.entrySet());
    byDemandPerWeight.sort(
        Comparator.comparingDouble(entry -> entry.getValue().demand() / entry.getValue().weight()));
    double remainingWeight = demands.values().stream().mapToDouble(WeightedDemand::weight).sum();
    double remaining = capacity;
    Map<K, Double> allocations = new HashMap<>();
    for (Map.Entry<K, WeightedDemand> entry : byDemandPerWeight) {
      WeightedDemand claimant = entry.getValue();
      double allocation =
          Math.min(claimant.demand(), remaining * claimant.weight() / remainingWeight);
      allocations.put(entry.getKey(), allocation);
      remaining -= allocation;
      remainingWeight -= claimant.weight();
    }
    return allocations;
  }

  /** The demand of a claimant and its weight, more than 0. */
  record WeightedDemand(double demand, double weight) {}
}
