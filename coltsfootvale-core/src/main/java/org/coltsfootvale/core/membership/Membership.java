package org.coltsfootvale.core.membership;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.release.FleetState;

/**
 * One router's view of routers and engines, updated from the release state, the platform's host
 * list, its own observations and gossip. Thread-safe.
 */
public interface Membership {

  /** Returns the current view. */
  FleetView view();

  /** Applies a new release state, which adds and removes engines. */
  void onFleetState(FleetState state);

  /** Applies the platform's host list, which marks hosts as leaving. */
  void onHostList(Collection<ListedHost> hosts, Instant asOf);

  /** Returns the engines that this router currently observes. */
  List<EngineId> observedEngines();

  /** Records a load report that this router has read from an engine. */
  void onEngineReport(EngineId engine, long incarnation, boolean leaving, EngineLoad load);

  /** Records that an engine did not answer this router's probe or request. */
  void onEngineSilent(EngineId engine);

  /** Records that an engine has refused a request because it is leaving. */
  void onEngineLeaving(EngineId engine);

  /** Sets the placement weights read from the weight store. */
  void onWeights(java.util.Map<EngineId, Double> weights);

  /** Records that a peer answered over the router protocol. */
  void onPeerAlive(org.coltsfootvale.core.model.RouterIncarnation peer);

  /** Records that a peer did not answer. */
  void onPeerSilent(RouterId peer);

  /** Marks this router as leaving; this cannot be undone. */
  void leave();

  /** Records the newest release revision that this router has applied. */
  void onAppliedRevision(long revision);

  /** Records this router's own load in 1/255ths of its capacity. */
  void onOwnLoad(int load);

  /** Advances the suspicion timeouts; must be called several times a second. */
  void tick();

  /** A host of the platform's list. */
  record ListedHost(
      String id,
      Kind kind,
      org.coltsfootvale.core.model.HostPort address,
      org.coltsfootvale.core.model.DataCentreId dataCentre,
      boolean leaving) {

    /** What runs on a host. */
    public enum Kind {
      ROUTER,
      ENGINE,
      SERVICE
    }
  }
}
