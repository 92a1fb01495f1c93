package org.coltsfootvale.core.registry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Selects the routers that callers are directed to, and how often each is listed. */
public final class EntryRouterSelection {

  /** The largest number of entries of one router in the list. */
  private static final int ENTRIES_PER_ROUTER_MAX = 4;

  /** The time in which a router's code is compiled under load after a start. */
  private static final Duration WARM_UP_TIME = Duration.ofSeconds(4);

  /** The fraction of its callers that a router gets right after its start. */
  private static final double COLD_START_FRACTION = 0.25;

  private EntryRouterSelection() {}

  /**
   * Returns the routers that are not lagging; all routers if half or more of them lag, as the
   * others could not serve all callers.
   */
  public static List<RouterAdvertisement> withoutLagging(
      List<RouterAdvertisement> live, Set<String> laggingIds) {
    List<RouterAdvertisement> notLagging = new ArrayList<>(live);
    notLagging.removeIf(router -> laggingIds.contains(router.id()));
    return 2 * notLagging.size() > live.size() ? notLagging : new ArrayList<>(live);
  }

  /**
   * Returns the relative number of callers for a router: proportional to its capacity and reduced
   * after a start, while its code is not compiled and each request takes several times as long.
   *
   * @param router the router
   * @param age the time since it was advertised
   */
  public static double weight(RouterAdvertisement router, Duration age) {
    double warmFraction = Math.min(1, (double) age.toMillis() / WARM_UP_TIME.toMillis());
    return router.capacityCores()
        * (COLD_START_FRACTION + (1 - COLD_START_FRACTION) * warmFraction);
  }

  /**
   * Returns a list in which routers with more weight are repeated; callers pick an entry at random.
   *
   * @param routers the routers
   * @param weight the relative number of callers for each router
   * @param entriesMax the largest size of the list
   */
  public static List<RouterAdvertisement> byWeight(
      List<RouterAdvertisement> routers,
      ToDoubleFunction<RouterAdvertisement> weight,
      int entriesMax) {
    double smallest =
        routers.stream().mapToDouble(weight).filter(positive -> positive > 0).min().orElse(1);
    int entriesPerRouterMax = ENTRIES_PER_ROUTER_MAX;
    while (true) {
      List<RouterAdvertisement> list = new ArrayList<>();
      for (RouterAdvertisement router : routers) {
        long entries = Math.round(weight.applyAsDouble(router) / smallest);
        for (int i = 0; i < Math.max(1, Math.min(entriesPerRouterMax, entries)); i++) {
          list.add(router);
        }
      }
      if (list.size() <= entriesMax || entriesPerRouterMax == 1) {
        return list;
      }
      entriesPerRouterMax--;
    }
  }
}
