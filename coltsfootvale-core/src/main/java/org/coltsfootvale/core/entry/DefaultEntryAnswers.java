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
 * Entry answers drawn at random: live routers of the own data centre first, the less loaded ones
 * more often, and one address of another data centre as the last resort.
 */
public final class DefaultEntryAnswers implements EntryAnswers {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int LOAD_FULL = 255;

  /** The share that a fully loaded router still gets, so that no router starves. */
  private static final double WEIGHT_MIN = 0.05;

  private final DataCentreId dataCentre;
  private final EntryOptions options;
  private final Supplier<FleetView> view;
  private final UniformRandomProvider random;

  /**
   * Creates entry answers.
   *
   * @param dataCentre the data centre of this router and its callers
   * @param options the shape of the answers
   * @param view the membership view
   * @param random draws routers; guarded by this object
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
    List<RouterView> near = new ArrayList<>();
    List<RouterView> far = new ArrayList<>();
    for (RouterView router : view.get().routers().values()) {
      if (router.liveness() == Liveness.LIVE) {
        (router.dataCentre().equals(dataCentre) ? near : far).add(router);
      }
    }
    List<RouterView> drawn = draw(near, far);
    if (drawn.isEmpty()) {
      throw ColtsfootvaleException.notRun(
          ErrorKind.NOT_READY, "No router is known to take new work.", RETRY_AFTER);
    }
    return new EntryAnswer(
        drawn.stream().map(RouterView::callerAddress).toList(),
        drawn.get(0).router(),
        options.lifetime());
  }

  private synchronized List<RouterView> draw(List<RouterView> near, List<RouterView> far) {
    int nearMax = far.isEmpty() ? options.addressesMax() : Math.max(1, options.addressesMax() - 1);
    List<RouterView> drawn = new ArrayList<>();
    drawInto(drawn, near, nearMax);
    drawInto(drawn, far, options.addressesMax());
    drawInto(drawn, near, options.addressesMax());
    return drawn;
  }

  /** Moves routers from the candidates until the list has a size or no candidate is left. */
  private void drawInto(List<RouterView> drawn, List<RouterView> candidates, int size) {
    while (drawn.size() < size && !candidates.isEmpty()) {
      drawn.add(candidates.remove(pick(candidates)));
    }
  }

  private int pick(List<RouterView> candidates) {
    double total = 0;
    for (RouterView candidate : candidates) {
      total += weight(candidate.load());
    }
    double point = random.nextDouble() * total;
    for (int index = 0; index < candidates.size() - 1; index++) {
      point -= weight(candidates.get(index).load());
      if (point < 0) {
        return index;
      }
    }
    return candidates.size() - 1;
  }

  private static double weight(@Nullable Integer load) {
    double used = load == null ? 0 : (double) load / LOAD_FULL;
    return Math.max(WEIGHT_MIN, 1.0 - used);
  }
}
