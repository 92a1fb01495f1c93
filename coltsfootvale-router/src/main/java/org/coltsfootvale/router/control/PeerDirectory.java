package org.coltsfootvale.router.control;

import java.util.Optional;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Finds the inner-protocol address of a router in the membership view. */
public final class PeerDirectory {

  private final Supplier<FleetView> view;

  /** Creates a directory over a view. */
  public PeerDirectory(Supplier<FleetView> view) {
    this.view = view;
  }

  /** Returns the address of a known router. */
  public Optional<HostPort> addressOf(RouterId router) {
    return Optional.ofNullable(view.get().routers().get(router)).map(RouterView::peerAddress);
  }
}
