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
 * A bounded random mesh that routers with the same view compute alike without talking: a few rings
 * in hash order inside each data centre, and a few links between each two data centres, fewer
 * between regions.
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
    for (Map.Entry<DataCentreId, List<RouterId>> remote : byDataCentre.entrySet()) {
      DataCentreId other = remote.getKey();
      if (other.equals(own)) {
        continue;
      }
      int links = linksBetween(own, other);
      String pair = own.compareTo(other) < 0 ? own + "|" + other : other + "|" + own;
      List<RouterId> near = inHashOrder(byDataCentre.getOrDefault(own, List.of()), pair);
      List<RouterId> far = inHashOrder(remote.getValue(), pair);
      for (int link = 0; link < links; link++) {
        if (near.get(link % near.size()).equals(self)) {
          peers.add(far.get(link % far.size()));
        }
      }
    }
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
