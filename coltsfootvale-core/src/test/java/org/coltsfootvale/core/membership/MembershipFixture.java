package org.coltsfootvale.core.membership;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.model.PoolId;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.release.EngineSpec;
import org.coltsfootvale.core.release.FleetState;
import org.coltsfootvale.core.release.PolicySpec;

/** Creates memberships with a common clock and their test inputs. */
public final class MembershipFixture {

  public static final DataCentreId DATA_CENTRE = new DataCentreId("dc1");
  public static final RouterId PEER = new RouterId("peer");
  public static final EngineId ENGINE = new EngineId("engine");

  public final ManualClock clock = new ManualClock();

  public DefaultMembership membership(String name) {
    DefaultMembership membership =
        new DefaultMembership(
            new RouterIncarnation(new RouterId(name), 100),
            DATA_CENTRE,
            new HostPort("10.0.0.1", 1),
            new HostPort("10.0.0.1", 2),
            MembershipOptions.DEFAULT,
            clock);
    membership.onFleetState(state(1, ENGINE));
    return membership;
  }

  public static FleetState state(long revision, EngineId... ids) {
    Map<EngineId, EngineSpec> engines = new HashMap<>();
    for (EngineId id : ids) {
      engines.put(
          id,
          new EngineSpec(
              id,
              new PoolId("pool"),
              URI.create("http://10.0.0.9:8000"),
              DATA_CENTRE,
              List.of(new ModelId("model")),
              8000,
              true));
    }
    return new FleetState(
        revision, Map.of(), Map.of(), Map.of(), engines, Map.of(), Map.of(), PolicySpec.DEFAULT);
  }

  public static RouterEntry router(String name, long number, long version, Liveness liveness) {
    return routerAt("10.0.1." + (name.hashCode() & 127), name, number, version, liveness);
  }

  public static RouterEntry routerAt(
      String host, String name, long number, long version, Liveness liveness) {
    return new RouterEntry(
        new RouterIncarnation(new RouterId(name), number),
        version,
        liveness,
        DATA_CENTRE,
        new HostPort(host, 1),
        new HostPort(host, 2),
        0,
        0);
  }

  public static EngineEntry engine(long incarnation, long version, Liveness liveness) {
    return new EngineEntry(ENGINE, incarnation, version, liveness, 3, 0, 0, 0);
  }

  public EngineLoad load(int outstanding) {
    return new EngineLoad(outstanding, 0, 0, clock.instant());
  }

  public static List<ListedHost> listed(ListedHost.Kind kind, String id, boolean leaving) {
    return List.of(new ListedHost(id, kind, new HostPort("10.0.0.9", 8000), DATA_CENTRE, leaving));
  }

  public static Liveness routerLiveness(Membership membership, String name) {
    return Objects.requireNonNull(membership.view().routers().get(new RouterId(name))).liveness();
  }

  public static Liveness engineLiveness(Membership membership) {
    return Objects.requireNonNull(membership.view().engines().get(ENGINE)).liveness();
  }

  /** Advances the clock in steps of 100 ms, too short to be taken for a pause of the process. */
  public void advanceTicking(Duration duration, Membership membership) {
    Duration step = Duration.ofMillis(100);
    for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; ) {
      clock.advance(step);
      membership.tick();
      elapsed = elapsed.plus(step);
    }
  }
}
