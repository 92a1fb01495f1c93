package org.coltsfootvale.router.operator;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.gossip.GossipCounters;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.protocol.TransportCounters;

/**
 * The state of a router process at one instant. The lists are cut at a fixed length, so that the
 * dump stays below a megabyte.
 *
 * @param router the router's name
 * @param incarnation its incarnation number
 * @param dataCentre its data centre
 * @param at the time of the dump
 * @param startedAt the time of the start
 * @param draining whether the process is shutting down
 * @param ready whether it may serve
 * @param releaseRevision the newest applied release revision
 * @param policy the placement rules in force
 * @param platformReader whether it reads the platform for its data centre
 * @param requestsInProgress requests that are being served
 * @param keysHeld idempotency keys held
 * @param engines the engines in its view, at most {@link #ENTRIES_MAX}
 * @param routers the routers in its view, at most {@link #ENTRIES_MAX}
 * @param observedEngines the engines that it observes
 * @param gossip gossip counters
 * @param transport inner-protocol counters
 * @param circuitsOpen backend servers whose circuit is not closed
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

  /** The greatest number of engines and of routers in a dump. */
  public static final int ENTRIES_MAX = 2_000;
}
