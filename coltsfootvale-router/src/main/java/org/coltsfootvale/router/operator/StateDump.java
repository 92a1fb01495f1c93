package org.coltsfootvale.router.operator;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.gossip.GossipCounters;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.protocol.TransportCounters;

/**
 * The state of a router process at one instant. Lists of engines, routers and open circuits are
 * truncated to keep the dump below one megabyte.
 *
 * @param router the router's name
 * @param incarnation its incarnation number
 * @param dataCentre its data centre
 * @param at the time of the dump
 * @param startedAt the start time of the process
 * @param draining whether the process is shutting down
 * @param ready whether the release log is ready
 * @param releaseRevision the newest applied release revision
 * @param policy the placement rules in force
 * @param platformReader whether the router reads the platform for its data centre
 * @param requestsInProgress the number of requests in progress
 * @param keysHeld the number of idempotency keys held
 * @param engines the engines in the view, at most {@link #ENTRIES_MAX}
 * @param routers the routers in the view, at most {@link #ENTRIES_MAX}
 * @param observedEngines the engines that the router observes
 * @param gossip gossip counters
 * @param transport peer transport counters
 * @param circuitsOpen backend servers whose circuit is not closed, at most {@link #ENTRIES_MAX}
 */
public record StateDump(
    String router,
    long incarnation,
    String dataCentre,
    Instant at,
    Instant startedAt,
    boolean draining,
    boolean ready,
    long releaseRevision,
    Map<String, Object> policy,
    boolean platformReader,
    long requestsInProgress,
    int keysHeld,
    List<EngineView> engines,
    List<RouterView> routers,
    List<String> observedEngines,
    GossipCounters gossip,
    TransportCounters transport,
    List<String> circuitsOpen) {

  /** The maximum length of each list of engines, routers or backend servers in a dump. */
  public static final int ENTRIES_MAX = 2_000;
}
