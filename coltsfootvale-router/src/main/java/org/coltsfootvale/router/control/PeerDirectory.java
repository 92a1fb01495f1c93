package org.coltsfootvale.router.control;

import java.util.Optional;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Looks up the peer addresses of routers in the membership view. */
public final class PeerDirectory {

  private final Supplier<FleetView> view;

  /** Creates a directory over a view. */
  public PeerDirectory(Supplier<FleetView> view) {
    this.view = view;
  }

  /** Returns the peer address of a router, or empty if it is not in the view. */
  public Optional<HostPort> addressOf(RouterId router) {
    return Optional.ofNullable(view.get().routers().get(router)).map(RouterView::peerAddress);
  }
}
