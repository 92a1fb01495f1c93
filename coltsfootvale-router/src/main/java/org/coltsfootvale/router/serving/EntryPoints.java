package org.coltsfootvale.router.serving;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.registry.EntryRouterSelection;
import org.coltsfootvale.core.registry.RouterAdvertisement;
import org.coltsfootvale.core.registry.RouterRegistry;

/** Tells callers which routers to use. Confined to the serving loop. */
public final class EntryPoints {

  /**
   * How long an answer is used. Callers may keep it three times as long, and a stopping router
   * serves on for that time, so that it has to be short beside the time that a stop may take.
   */
  static final Duration TIME_TO_LIVE = Duration.ofSeconds(1);

  /** The longest list that callers take. */
  private static final int ROUTERS_MAX = 64;

  /** Below this number of routers in a caller's data centre it is given those of all. */
  private static final int LOCAL_MIN = 8;

  private final RouterRegistry registry;
  private final Supplier<Set<String>> heardIds;
  private final Supplier<Set<String>> lateIds;
  private final BooleanSupplier ready;
  private int answers;

  /**
   * Creates the answers.
   *
   * @param registry the advertised routers
   * @param heardIds the other routers that are heard
   * @param lateIds the routers that are late with their work
   * @param ready whether this router takes new callers
   */
  EntryPoints(
      RouterRegistry registry,
      Supplier<Set<String>> heardIds,
      Supplier<Set<String>> lateIds,
      BooleanSupplier ready) {
    this.registry = registry;
    this.heardIds = heardIds;
    this.lateIds = lateIds;
    this.ready = ready;
  }

  /** Returns whether this router takes new callers. */
  public boolean ready() {
    return ready.getAsBoolean();
  }

  /** Returns the routers for a caller in a data centre. */
  public EntryAnswer forCallerIn(String dataCentre) {
    List<RouterAdvertisement> live =
        EntryRouterSelection.withoutLagging(registry.live(heardIds.get()), lateIds.get());
    if (!ready()) {
      live.removeIf(router -> registry.isSelf(router));
    }
    List<RouterAdvertisement> local =
        live.stream().filter(router -> router.dataCentre().equals(dataCentre)).toList();
    List<RouterAdvertisement> chosen =
        EntryRouterSelection.byWeight(
            local.size() >= LOCAL_MIN ? local : live,
            router -> EntryRouterSelection.weight(router, registry.ageOf(router)),
            ROUTERS_MAX);
    // Each answer begins elsewhere, so that callers find all routers of a long list.
    Collections.rotate(chosen, answers++);
    List<HostPort> addresses =
        chosen.stream().limit(ROUTERS_MAX).map(RouterAdvertisement::callerAddress).toList();
    return new EntryAnswer(addresses, TIME_TO_LIVE);
  }
}
