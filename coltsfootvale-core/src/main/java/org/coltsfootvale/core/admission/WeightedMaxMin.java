package org.coltsfootvale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Weighted max-min fair division of a capacity. */
final class WeightedMaxMin {

  private WeightedMaxMin() {}

  /**
   * Divides a capacity so that nobody gets more than its demand and nobody could get more without
   * taking from one with a smaller part per weight.
   *
   * @param capacity what there is to divide, at least 0
   * @param claims the demand and weight of each claimant
   * @param <K> the claimants
   */
  static <K> Map<K, Double> divide(double capacity, Map<K, Claim> claims) {
    List<Map.Entry<K, Claim>> byNeed = new ArrayList<>(claims.entrySet());
    byNeed.sort(
        Comparator.comparingDouble(entry -> entry.getValue().demand() / entry.getValue().weight()));
    double weights = claims.values().stream().mapToDouble(Claim::weight).sum();
    double left = capacity;
    Map<K, Double> parts = new HashMap<>();
    for (Map.Entry<K, Claim> entry : byNeed) {
      Claim claim = entry.getValue();
      double part = Math.min(claim.demand(), left * claim.weight() / weights);
      parts.put(entry.getKey(), part);
      left -= part;
      weights -= claim.weight();
    }
    return parts;
  }

  /** What a claimant asks for, and its weight, more than 0. */
  record Claim(double demand, double weight) {}
}
