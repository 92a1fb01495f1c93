package org.coltsfootvale.core.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterView;
import org.jspecify.annotations.Nullable;

/**
 * Chooses live routers at random: routers of the own data centre first, less loaded ones more
 * often, and one router of another data centre as the last resort.
 */
public final class DefaultEntryAnswers implements EntryAnswers {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int LOAD_FULL = 255;

  /** The weight of a fully loaded router, above 0 so that every router gets some callers. */
  private static final double WEIGHT_MIN = 0.05;

  private final DataCentreId dataCentre;
  private final EntryOptions options;
  private final Supplier<FleetView> view;
  private final UniformRandomProvider random;

  /**
   * Creates a source of entry answers.
   *
   * @param dataCentre the data centre of this router and its callers
   * @param options the options
   * @param view the membership view
   * @param random the source of random numbers; guarded by this object
   */
  public DefaultEntryAnswers(
      DataCentreId dataCentre,
      EntryOptions options,
      Supplier<FleetView> view,
      UniformRandomProvider random) {
    this.dataCentre = dataCentre;
    this.options = options;
    this.view = view;
    this.random = random;
  }

  @Override
  public EntryAnswer answer() {
    List<RouterView> local = new ArrayList<>();
    List<RouterView> remote = new ArrayList<>();
    for (RouterView router : view.get().routers().values()) {
      if (router.liveness() == Liveness.LIVE) {
        (router.dataCentre().equals(dataCentre) ? local : remote).add(router);
      }
    }
    List<RouterView> chosen = choose(local, remote);
    if (chosen.isEmpty()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.NOT_READY, "No router is known to take new work.", RETRY_AFTER);
    }
    return new EntryAnswer(
        chosen.stream().map(RouterView::callerAddress).toList(),
        chosen.get(0).router(),
        options.lifetime());
  }

  private synchronized List<RouterView> choose(List<RouterView> local, List<RouterView> remote) {
    int localMax =
        remote.isEmpty() ? options.addressesMax() : Math.max(1, options.addressesMax() - 1);
    List<RouterView> chosen = new ArrayList<>();
    moveRandom(chosen, local, localMax);
    moveRandom(chosen, remote, options.addressesMax());
    moveRandom(chosen, local, options.addressesMax());
    return chosen;
  }

  /** Moves random candidates to the list until it has the given size or no candidate is left. */
  private void moveRandom(List<RouterView> chosen, List<RouterView> candidates, int size) {
    while (chosen.size() < size && !candidates.isEmpty()) {
      chosen.add(candidates.remove(pick(candidates)));
    }
  }

  private int pick(List<RouterView> candidates) {
    double total = 0;
    for (RouterView candidate : candidates) {
      total += weight(candidate.load());
    }
    double remainingWeight = random.nextDouble() * total;
    for (int index = 0; index < candidates.size() - 1; index++) {
      remainingWeight -= weight(candidates.get(index).load());
      if (remainingWeight < 0) {
        return index;
      }
    }
    return candidates.size() - 1;
  }

  private static double weight(@Nullable Integer load) {
    double utilisation = load == null ? 0 : (double) load / LOAD_FULL;
    return Math.max(WEIGHT_MIN, 1.0 - utilisation);
  }
}
