package org.coltsfootvale.router.control;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.support.RendezvousHashing;

/**
 * Determines which routers read the platform for their data centre and which router holds a
 * fleet-wide role. Routers with equal views agree; where views differ, additional routers read,
 * which is harmless.
 */
public final class PlatformReaderRole {

  private static final int READERS_PER_DATA_CENTRE = 2;

  private final RouterId self;
  private final Supplier<FleetView> view;

  /** Creates the role of one router. */
  public PlatformReaderRole(RouterId self, Supplier<FleetView> view) {
    this.self = self;
    this.view = view;
  }

  /** Returns whether this router reads for its data centre; true if it is not in the view. */
  public boolean isReader() {
    FleetView current = view.get();
    RouterView own = current.routers().get(self);
    if (own == null) {
      return true;
    }
    return rankedLiveRouters(current, "platform-reader").stream()
        .filter(router -> router.dataCentre().equals(own.dataCentre()))
        .limit(READERS_PER_DATA_CENTRE)
        .anyMatch(router -> router.router().id().equals(self));
  }

  /** Returns whether this router ranks first for a fleet-wide role; true if no router is live. */
  public boolean isFirstFor(String role) {
    List<RouterView> ranking = rankedLiveRouters(view.get(), role);
    return ranking.isEmpty() || ranking.get(0).router().id().equals(self);
  }

  private static List<RouterView> rankedLiveRouters(FleetView view, String role) {
    long roleHash = RendezvousHashing.hash(role);
    return view.routers().values().stream()
        .filter(router -> router.liveness() == Liveness.LIVE)
        .sorted(
            Comparator.<RouterView>comparingDouble(
                    router ->
                        RendezvousHashing.score(
                            roleHash, RendezvousHashing.hash(router.router().id().value()), 1))
                .reversed())
        .toList();
  }
}
