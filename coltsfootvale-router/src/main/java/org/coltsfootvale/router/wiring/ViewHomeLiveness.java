package org.coltsfootvale.router.wiring;

import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.once.HomeLiveness;

/** Determines the liveness of home routers from the membership view. */
final class ViewHomeLiveness implements HomeLiveness {

  private final RouterIncarnation self;
  private final Supplier<FleetView> view;

  ViewHomeLiveness(RouterIncarnation self, Supplier<FleetView> view) {
    this.self = self;
    this.view = view;
  }

  @Override
  public boolean mayBeRunning(RouterIncarnation home) {
    if (home.equals(self)) {
      return true;
    }
    RouterView router = view.get().routers().get(home.id());
    return router != null && router.router().equals(home) && router.liveness() != Liveness.DEAD;
  }
}
