package org.coltsfootvale.verify.slopes;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.gossip.PeerSelector;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Selects the neighbours in rings ordered by hash over the fleet, ignoring data centres. */
final class RandomLinkSelector implements PeerSelector {

  private static final int RINGS = 2;

  @Override
  public Set<RouterId> select(RouterId self, Collection<RouterView> routers) {
    Set<RouterId> peers = new LinkedHashSet<>();
    for (int ring = 0; ring < RINGS; ring++) {
      List<RouterId> order = new ArrayList<>();
      routers.forEach(router -> order.add(router.router().id()));
      String salt = "ring" + ring + '/';
      order.sort(
          Comparator.comparingLong(id -> Hashing.komihash5_0().hashCharsToLong(salt + id.value())));
      int position = order.indexOf(self);
      peers.add(order.get((position + 1) % order.size()));
      peers.add(order.get((position + order.size() - 1) % order.size()));
    }
    peers.remove(self);
    return peers;
  }
}
