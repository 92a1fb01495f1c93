package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Which routers callers are sent to, and how often each is named. */
public final class EntryRouterSelection {

  /** How often the router with the most weight is named for once that the one with least is. */
  private static final int REPEATS_MAX = 4;

  /** How long the code of a router takes to be compiled under load. */
  private static final Duration WARM_UP = Duration.ofSeconds(4);

  /** The share of its callers that a router gets right after its start. */
  private static final double COLD_SHARE = 0.25;

  private EntryRouterSelection() {}

  /**
   * Returns the routers without those that are late with their work; all of them if most are late,
   * as the others could not carry the callers of all.
   */
  public static List<RouterAdvertisement> withoutLagging(
      List<RouterAdvertisement> live, Set<String> lateIds) {
    List<RouterAdvertisement> onTime = new ArrayList<>(live);
    onTime.removeIf(router -> lateIds.contains(router.id()));
    return 2 * onTime.size() > live.size() ? onTime : new ArrayList<>(live);
  }

  /**
   * Returns how many callers a router should get: by its capacity, and fewer after a start, when
   * its code has not run often yet and each request takes it several times as long.
   *
   * @param router the router
   * @param age the time since it was advertised
   */
  public static double weight(RouterAdvertisement router, Duration age) {
    double warm = Math.min(1, (double) age.toMillis() / WARM_UP.toMillis());
    return router.capacityCores() * (COLD_SHARE + (1 - COLD_SHARE) * warm);
  }

  /**
   * Returns the routers, those with more weight named several times: callers pick one of the names
   * at random.
   *
   * @param routers the routers
   * @param weight the callers that each should get, relative to the others
   * @param namesMax the longest list
   */
  public static List<RouterAdvertisement> byWeight(
      List<RouterAdvertisement> routers,
      ToDoubleFunction<RouterAdvertisement> weight,
      int namesMax) {
    double least =
        routers.stream().mapToDouble(weight).filter(positive -> positive > 0).min().orElse(1);
    int repeatsMax = REPEATS_MAX;
    while (true) {
      List<RouterAdvertisement> named = new ArrayList<>();
      for (RouterAdvertisement router : routers) {
        long repeats = Math.round(weight.applyAsDouble(router) / least);
        for (int i = 0; i < Math.max(1, Math.min(repeatsMax, repeats)); i++) {
          named.add(router);
        }
      }
      if (named.size() <= namesMax || repeatsMax == 1) {
        return named;
      }
      repeatsMax--;
    }
  }
}
