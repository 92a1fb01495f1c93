package org.coltsfootvale.core.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Which routers callers are sent to, and how often each is named. */
public final class EntryChoice {

  /** How often the router with the most capacity is named for once that the one with least is. */
  private static final int REPEATS_MAX = 4;

  private EntryChoice() {}

  /**
   * Returns the routers without those that are late with their work; all of them if most are late,
   * as the others could not carry the callers of all.
   */
  public static List<RouterAdvertisement> withoutLate(
      List<RouterAdvertisement> live, Set<String> lateIds) {
    List<RouterAdvertisement> onTime = new ArrayList<>(live);
    onTime.removeIf(router -> lateIds.contains(router.id()));
    return 2 * onTime.size() > live.size() ? onTime : new ArrayList<>(live);
  }

  /**
   * Returns the routers, those with more capacity named several times: callers pick one of the
   * names at random.
   *
   * @param namesMax the longest list
   */
  public static List<RouterAdvertisement> byCapacity(
      List<RouterAdvertisement> routers, int namesMax) {
    double least =
        routers.stream()
            .mapToDouble(RouterAdvertisement::capacityCores)
            .filter(cores -> cores > 0)
            .min()
            .orElse(1);
    int repeatsMax = REPEATS_MAX;
    while (true) {
      List<RouterAdvertisement> named = new ArrayList<>();
      for (RouterAdvertisement router : routers) {
        long repeats = Math.round(router.capacityCores() / least);
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
