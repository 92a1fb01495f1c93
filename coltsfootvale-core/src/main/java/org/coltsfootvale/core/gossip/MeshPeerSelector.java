package org.coltsfootvale.core.gossip;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/**
 * A bounded random mesh that routers with the same view compute identically without coordination: a
 * few rings in hash order inside each data centre, and a few links between each pair of data
 * centres, fewer between regions.
 */
public final class MeshPeerSelector implements PeerSelector {

  private static final Hasher64 HASHER = Hashing.komihash5_0();
  private static final int LOCAL_RINGS = 2;
  private static final int LINKS_IN_REGION = 2;
  private static final int LINKS_BETWEEN_REGIONS = 1;

  private final Function<DataCentreId, String> regionOf;

  /**
   * Creates a mesh.
   *
   * @param regionOf the region of each data centre
   */
  public MeshPeerSelector(Function<DataCentreId, String> regionOf) {
    this.regionOf = regionOf;
  }

  @Override
  public Set<RouterId> select(RouterId self, Collection<RouterView> routers) {
    Map<DataCentreId, List<RouterId>> byDataCentre = new TreeMap<>();
    DataCentreId own = null;
    for (RouterView router : routers) {
      RouterId id = router.router().id();
      byDataCentre.computeIfAbsent(router.dataCentre(), key -> new ArrayList<>()).add(id);
      if (id.equals(self)) {
        own = router.dataCentre();
      }
    }
    Set<RouterId> peers = new LinkedHashSet<>();
    if (own != null) {
      addLocal(peers, self, byDataCentre.getOrDefault(own, List.of()));
      addRemote(peers, self, own, byDataCentre);
    }
    peers.remove(self);
    return peers;
  }

  private static void addLocal(Set<RouterId> peers, RouterId self, List<RouterId> members) {
    for (int ring = 0; ring < LOCAL_RINGS; ring++) {
      List<RouterId> order = inHashOrder(members, "ring" + ring);
      int position = order.indexOf(self);
      peers.add(order.get((position + 1) % order.size()));
      peers.add(order.get((position + order.size() - 1) % order.size()));
    }
  }

  private void addRemote(
      Set<RouterId> peers,
      RouterId self,
      DataCentreId own,
      Map<DataCentreId, List<RouterId>> byDataCentre) {
    Set<DataCentreId> dataCentres = byDataCentre.keySet();
    for (DataCentreId other : dataCentres) {
      int links = other.equals(own) ? 0 : linksBetween(own, other);
      for (int link = 0; link < links; link++) {
        RouterId near = endpoint(own, other, link, dataCentres, byDataCentre);
        if (near.equals(self)) {
          peers.add(endpoint(other, own, link, dataCentres, byDataCentre));
        }
      }
    }
  }

  /** Returns the router at the near end of a link; links are assigned to routers in turn. */
  private RouterId endpoint(
      DataCentreId near,
      DataCentreId far,
      int link,
      Set<DataCentreId> dataCentres,
      Map<DataCentreId, List<RouterId>> byDataCentre) {
    int slot = link;
    for (DataCentreId other : dataCentres) {
      if (!other.equals(near) && other.compareTo(far) < 0) {
        slot += linksBetween(near, other);
      }
    }
    List<RouterId> order = inHashOrder(byDataCentre.getOrDefault(near, List.of()), "remote");
    return order.get(slot % order.size());
  }

  private int linksBetween(DataCentreId one, DataCentreId other) {
    boolean sameRegion = regionOf.apply(one).equals(regionOf.apply(other));
    return sameRegion ? LINKS_IN_REGION : LINKS_BETWEEN_REGIONS;
  }

  private static List<RouterId> inHashOrder(List<RouterId> members, String salt) {
    List<RouterId> order = new ArrayList<>(members);
    Comparator<RouterId> byHash =
        Comparator.comparingLong(id -> HASHER.hashCharsToLong(salt + '/' + id.value()));
    order.sort(byHash.thenComparing(Comparator.naturalOrder()));
    return order;
  }
}
