package org.coltsfootvale.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootvale.core.gossip.EntryClass;
import org.coltsfootvale.core.gossip.EntryStore;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.gossip.GossipEntry.EngineLoadEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterLoadEntry;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.release.FleetState;
import org.jspecify.annotations.Nullable;

/**
 * Membership ordered by incarnations. Suspected routers refute the suspicion, leaving is final
 * within an incarnation, and each engine is observed by a few routers. Also holds the entries that
 * gossip sends.
 */
public final class DefaultMembership implements Membership, EntryStore {

  private static final Duration PROCESS_PAUSE_MIN = Duration.ofSeconds(1);

  private final Object lock = new Object();
  private final MembershipContext context;
  private final RouterTable routers;
  private final EngineTable engines;
  private List<EngineId> observed = List.of();
  private long observedAtChange = -1;
  private boolean enginesChanged = true;
  private long fleetRevision = -1;
  private Instant hostListAsOf = Instant.EPOCH;
  private Instant avoidanceEndsAt = Instant.MAX;
  private Instant lastTickAt;
  private volatile FleetView view = FleetView.empty();
  private long viewVersion = -1;

  /**
   * Creates a membership that contains this router alone.
   *
   * @param self this router and its incarnation
   * @param dataCentre its data centre
   * @param callerAddress where callers connect to it
   * @param peerAddress where peers connect to it
   * @param options timeouts and bounds
   * @param clock the clock
   */
  public DefaultMembership(
      RouterIncarnation self,
      DataCentreId dataCentre,
      HostPort callerAddress,
      HostPort peerAddress,
      MembershipOptions options,
      InstantSource clock) {
    context = new MembershipContext(options, clock);
    Instant now = clock.instant();
    routers =
        new RouterTable(
            context, new RouterRecord(self, dataCentre, callerAddress, peerAddress, now));
    engines = new EngineTable(context);
    lastTickAt = now;
  }

  @Override
  public FleetView view() {
    synchronized (lock) {
      if (viewVersion != context.version()) {
        viewVersion = context.version();
        view = new FleetView(viewVersion, engines.views(), routers.views());
      }
      return view;
    }
  }

  @Override
  public void onFleetState(FleetState state) {
    synchronized (lock) {
      if (state.revision() < fleetRevision) {
        return;
      }
      fleetRevision = state.revision();
      enginesChanged |= engines.onFleetState(state.engines());
    }
  }

  @Override
  public void onHostList(Collection<ListedHost> hosts, Instant asOf) {
    synchronized (lock) {
      if (asOf.isBefore(hostListAsOf)) {
        return;
      }
      hostListAsOf = asOf;
      routers.onHostList(hosts, asOf);
      engines.onHostList(hosts);
    }
  }

  @Override
  public List<EngineId> observedEngines() {
    synchronized (lock) {
      refreshObserved();
      return observed;
    }
  }

  @Override
  public void onEngineReport(EngineId engine, long incarnation, boolean leaving, EngineLoad load) {
    synchronized (lock) {
      engines.onReport(engine, incarnation, leaving, load);
    }
  }

  @Override
  public void onEngineSilent(EngineId engine) {
    synchronized (lock) {
      refreshObserved();
      engines.onSilent(engine);
      Instant endsAt = context.now().plus(context.options.localSuspicion());
      avoidanceEndsAt = endsAt.isBefore(avoidanceEndsAt) ? endsAt : avoidanceEndsAt;
    }
  }

  @Override
  public void onEngineLeaving(EngineId engine) {
    synchronized (lock) {
      engines.onLeaving(engine);
    }
  }

  @Override
  public void onWeights(Map<EngineId, Double> weights) {
    synchronized (lock) {
      engines.onWeights(weights);
    }
  }

  @Override
  public void onPeerAlive(RouterIncarnation peer) {
    synchronized (lock) {
      routers.onAlive(peer);
    }
  }

  @Override
  public void onPeerSilent(RouterId peer) {
    synchronized (lock) {
      routers.onSilent(peer);
    }
  }

  @Override
  public void leave() {
    synchronized (lock) {
      routers.leave();
    }
  }

  @Override
  public void onAppliedRevision(long revision) {
    synchronized (lock) {
      routers.onAppliedRevision(revision);
    }
  }

  @Override
  public void onOwnLoad(int load) {
    synchronized (lock) {
      routers.onOwnLoad(load);
    }
  }

  @Override
  public void tick() {
    synchronized (lock) {
      Instant now = context.now();
      if (now.isAfter(lastTickAt.plus(PROCESS_PAUSE_MIN))) {
        routers.restartSuspicions();
      }
      lastTickAt = now;
      refreshObserved();
      routers.tick();
      engines.tick();
      if (!now.isBefore(avoidanceEndsAt)) {
        avoidanceEndsAt = engines.nextAvoidanceEnd();
        context.viewChanged();
      }
    }
  }

  @Override
  public List<RouterView> routers() {
    synchronized (lock) {
      return List.copyOf(routers.views().values());
    }
  }

  @Override
  public Optional<RouterView> router(RouterId id) {
    synchronized (lock) {
      return Optional.ofNullable(routers.find(id)).map(RouterRecord::view);
    }
  }

  @Override
  public long appliedRevision() {
    synchronized (lock) {
      return routers.self().appliedRevision;
    }
  }

  @Override
  public long digest() {
    synchronized (lock) {
      return context.digest();
    }
  }

  @Override
  public long routerChanges() {
    synchronized (lock) {
      return context.routerChanges();
    }
  }

  @Override
  public MergeResult merge(RouterId from, GossipEntry entry) {
    synchronized (lock) {
      if (entry instanceof RouterEntry router) {
        return routers.merge(from, router);
      }
      if (entry instanceof RouterLoadEntry load) {
        return routers.merge(from, load);
      }
      if (entry instanceof EngineLoadEntry load) {
        return engines.merge(from, load);
      }
      return engines.merge(from, (EngineEntry) entry);
    }
  }

  @Override
  public List<Change> changesAfter(EntryClass entryClass, long sequence, int limit) {
    synchronized (lock) {
      List<Change> result = new ArrayList<>();
      for (Map.Entry<Long, Subject> change : context.changes.after(entryClass, sequence, limit)) {
        Change described = describe(entryClass, change.getKey(), change.getValue());
        if (described != null) {
          result.add(described);
        }
      }
      return result;
    }
  }

  @Override
  public boolean hasAfter(EntryClass entryClass, long sequence) {
    synchronized (lock) {
      return context.changes.hasAfter(entryClass, sequence);
    }
  }

  @Override
  public int countAfter(EntryClass entryClass, long sequence, int limit) {
    synchronized (lock) {
      return context.changes.countAfter(entryClass, sequence, limit);
    }
  }

  @Override
  public RouterEntry ownEntry() {
    synchronized (lock) {
      return routers.self().fullEntry();
    }
  }

  @Override
  public Optional<RouterEntry> routerEntry(RouterId router) {
    synchronized (lock) {
      return Optional.ofNullable(routers.find(router)).map(RouterRecord::fullEntry);
    }
  }

  private @Nullable Change describe(EntryClass entryClass, long sequence, Subject subject) {
    if (subject instanceof Subject.Router router) {
      RouterRecord record = routers.find(router.id());
      if (record == null) {
        return null;
      }
      boolean full = entryClass != EntryClass.LOAD || !routers.isKeyUnique(record);
      GossipEntry entry = full ? record.fullEntry() : record.compactEntry();
      return new Change(sequence, record.holders.peers(), entry);
    }
    EngineRecord record = engines.find(((Subject.Engine) subject).id());
    if (record == null) {
      return null;
    }
    Instant now = context.now();
    boolean full = entryClass != EntryClass.LOAD || !engines.isKeyUnique(record);
    GossipEntry entry = full ? record.fullEntry(now) : record.compactEntry(now);
    return new Change(sequence, record.holders.peers(), entry);
  }

  private void refreshObserved() {
    if (!enginesChanged && observedAtChange == context.routerChanges()) {
      return;
    }
    enginesChanged = false;
    observedAtChange = context.routerChanges();
    observed =
        List.copyOf(
            ObserverAssignment.observedBy(
                routers.self().router.id(),
                routers.observers(),
                engines.records(),
                context.options.observersPerEngine()));
    engines.setObserved(observed);
  }
}
