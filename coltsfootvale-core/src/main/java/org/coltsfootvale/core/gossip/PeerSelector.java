package org.coltsfootvale.core.gossip;

import java.util.Collection;
import java.util.Set;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Selects the routers to which a router maintains gossip links. */
@FunctionalInterface
public interface PeerSelector {

  /**
   * Returns the peers of a router.
   *
   * @param self the router
   * @param routers the routers that are not dead, {@code self} among them
   */
  Set<RouterId> select(RouterId self, Collection<RouterView> routers);
}
