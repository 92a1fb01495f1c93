package org.coltsfootvale.core.orders;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterView;

/** Selects the highest-ranked live routers of a pool's rendezvous hashing as its candidates. */
public final class RankedOrderCandidates implements OrderCandidates {

  private static final int CANDIDATES = 2;

  private final RouterId self;
  private final Supplier<FleetView> view;

  /** Creates the candidate selection for one router over its membership view. */
  public RankedOrderCandidates(RouterId self, Supplier<FleetView> view) {
    this.self = self;
    this.view = view;
  }

  @Override
  public boolean isCandidate(PoolId pool) {
    long own = score(pool, self);
    int higherRanked = 0;
    for (RouterView router : view.get().routers().values()) {
      RouterId id = router.router().id();
      boolean live = router.liveness() == Liveness.LIVE;
      if (live && !id.equals(self) && Long.compareUnsigned(score(pool, id), own) > 0) {
        higherRanked++;
      }
    }
    return higherRanked < CANDIDATES;
  }

  private static long score(PoolId pool, RouterId router) {
    return Hashing.komihash5_0()
        .hashStream()
        .putString(pool.value())
        .putString(router.value())
        .getAsLong();
  }
}
