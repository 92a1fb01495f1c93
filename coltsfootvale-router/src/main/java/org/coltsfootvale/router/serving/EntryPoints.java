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

/** Selects the routers that callers should use. Confined to the serving loop. */
public final class EntryPoints {

  /**
   * How long an answer is valid. Callers may keep it three times as long, and a stopping router
   * continues to serve them for that time, so it has to be short relative to the stop time-out.
   */
  static final Duration TIME_TO_LIVE = Duration.ofSeconds(1);

  /** The maximum length of a list that callers accept. */
  private static final int ROUTERS_MAX = 64;

  /** With fewer routers than this in its data centre, a caller gets those of all data centres. */
  private static final int LOCAL_ROUTERS_MIN = 8;

  private final RouterRegistry registry;
  private final Supplier<Set<String>> activePeerIds;
  private final Supplier<Set<String>> laggingIds;
  private final BooleanSupplier ready;
  private int answerCount;

  /**
   * Creates a selection.
   *
   * @param registry the advertised routers
   * @param activePeerIds the other routers whose updates arrive
   * @param laggingIds the lagging routers
   * @param ready whether this router accepts new callers
   */
  EntryPoints(
      RouterRegistry registry,
      Supplier<Set<String>> activePeerIds,
      Supplier<Set<String>> laggingIds,
      BooleanSupplier ready) {
    this.registry = registry;
    this.activePeerIds = activePeerIds;
    this.laggingIds = laggingIds;
    this.ready = ready;
  }

  /** Returns whether this router accepts new callers. */
  public boolean ready() {
    return ready.getAsBoolean();
  }

  /** Returns the routers for a caller in a data centre. */
  public EntryAnswer forCallerIn(String dataCentre) {
    List<RouterAdvertisement> live =
        EntryRouterSelection.withoutLagging(registry.live(activePeerIds.get()), laggingIds.get());
    if (!ready()) {
      live.removeIf(router -> registry.isSelf(router));
    }
    List<RouterAdvertisement> local =
        live.stream().filter(router -> router.dataCentre().equals(dataCentre)).toList();
    List<RouterAdvertisement> chosen =
        EntryRouterSelection.byWeight(
            local.size() >= LOCAL_ROUTERS_MIN ? local : live,
            router -> EntryRouterSelection.weight(router, registry.ageOf(router)),
            ROUTERS_MAX);
    // Rotated, so that the answers together list all routers where one answer cannot.
    Collections.rotate(chosen, answerCount++);
    List<HostPort> addresses =
        chosen.stream().limit(ROUTERS_MAX).map(RouterAdvertisement::callerAddress).toList();
    return new EntryAnswer(addresses, TIME_TO_LIVE);
  }
}
