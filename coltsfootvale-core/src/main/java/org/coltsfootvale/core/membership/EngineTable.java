package org.coltsfootvale.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.coltsfootvale.core.gossip.EntryClass;
import org.coltsfootvale.core.gossip.EntryStore.MergeResult;
import org.coltsfootvale.core.gossip.GossipEntry.EngineEntry;
import org.coltsfootvale.core.gossip.GossipEntry.EngineLoadEntry;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.EngineId;
import org.coltsfootvale.core.model.EngineLoad;
import org.coltsfootvale.core.model.EngineView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.release.EngineSpec;
import org.jspecify.annotations.Nullable;

/** One router's view of the engines. Guarded by the lock of its owner. */
final class EngineTable {

  private static final Duration SUSPICION_BACKOFF = Duration.ofSeconds(10);
  private static final Duration OWN_ANSWER_FRESHNESS = Duration.ofSeconds(2);

  /**
   * Versions of engines count units of 64 ms, so that the versions of one message differ little.
   */
  private static final int VERSION_SHIFT = 6;

  private final MembershipContext context;
  private final Map<EngineId, EngineRecord> records = new HashMap<>();
  private final KeyIndex<EngineRecord> keys = new KeyIndex<>();
  private final Set<EngineId> listedLeaving = new HashSet<>();
  private Map<EngineId, Double> weights = Map.of();
  private Set<EngineId> observed = Set.of();

  /** Creates an empty table. */
  EngineTable(MembershipContext context) {
    this.context = context;
  }

  /** Sets the engines that this router observes. */
  void setObserved(Collection<EngineId> engines) {
    observed = Set.copyOf(engines);
  }

  /** Returns all records. */
  Collection<EngineRecord> records() {
    return records.values();
  }

  /** Returns the record of an engine, or null. */
  @Nullable EngineRecord find(EngineId id) {
    return records.get(id);
  }

  /** Returns all views by id. */
  Map<EngineId, EngineView> views() {
    Instant now = context.now();
    Map<EngineId, EngineView> views = new HashMap<>();
    records.forEach((id, record) -> views.put(id, record.view(now)));
    return views;
  }

  /** Adds and removes engines; returns whether the set or a data centre has changed. */
  boolean onFleetState(Map<EngineId, EngineSpec> specs) {
    boolean changed = removeWithdrawn(specs.keySet());
    for (EngineSpec spec : specs.values()) {
      EngineRecord record = records.get(spec.id());
      if (record == null) {
        addRecord(spec);
        changed = true;
      } else if (!record.dataCentre.equals(spec.dataCentre())) {
        record.dataCentre = spec.dataCentre();
        changed = true;
      }
    }
    return changed;
  }

  /** Applies the engines of the platform's host list. */
  void onHostList(Collection<ListedHost> hosts) {
    for (ListedHost host : hosts) {
      if (host.kind() == ListedHost.Kind.ENGINE) {
        setListedLeaving(new EngineId(host.id()), host.leaving());
      }
    }
  }

  /** Applies a load report that this router has read from the engine. */
  void onReport(EngineId id, long incarnation, boolean leaving, EngineLoad load) {
    EngineRecord record = records.get(id);
    if (record == null || incarnation < record.incarnation) {
      return;
    }
    Liveness previous = record.liveness();
    boolean restarted = incarnation > record.incarnation;
    if (restarted) {
      startIncarnation(record, incarnation);
    }
    record.leaving |= leaving;
    recordAnswer(record, load);
    if (restarted || record.liveness() != previous) {
      publish(record);
    } else if (record.isWorthSending(load, context.options, context.now())) {
      observe(record, EntryClass.LOAD);
    } else {
      context.viewChanged();
    }
  }

  /** Records that an engine did not answer this router. */
  void onSilent(EngineId id) {
    EngineRecord record = records.get(id);
    if (record == null) {
      return;
    }
    Instant now = context.now();
    record.unansweredProbes++;
    record.damper.onSilent();
    record.avoidedUntil = now.plus(context.options.localSuspicion());
    context.viewChanged();
    boolean suspected =
        observed.contains(id)
            && record.reachability == Liveness.LIVE
            && record.unansweredProbes >= context.options.unansweredProbesMax()
            && !now.isBefore(record.suspicionAllowedAt);
    if (suspected) {
      record.reachability = Liveness.SUSPECT;
      record.suspectedAt = now;
      publish(record);
    }
  }

  /** Records that an engine has reported that it is leaving. */
  void onLeaving(EngineId id) {
    EngineRecord record = records.get(id);
    if (record != null && !record.leaving) {
      record.leaving = true;
      publish(record);
    }
  }

  /** Sets the placement weights; engines without one have weight 1. */
  void onWeights(Map<EngineId, Double> newWeights) {
    weights = Map.copyOf(newWeights);
    for (EngineRecord record : records.values()) {
      record.weight = weightOf(record.id);
    }
    context.viewChanged();
  }

  /** Merges an entry that a peer has sent. */
  MergeResult merge(RouterId from, EngineEntry entry) {
    EngineRecord record = records.get(entry.engine());
    if (record == null) {
      return MergeResult.IGNORED;
    }
    if (entry.incarnation() < record.incarnation) {
      return MergeResult.STALE;
    }
    if (entry.incarnation() > record.incarnation) {
      startIncarnation(record, entry.incarnation());
      record.leaving = entry.liveness() == Liveness.LEAVING;
      adopt(from, record, entry);
      livenessChanged(record);
      return MergeResult.APPLIED;
    }
    return update(from, record, entry);
  }

  /** Merges a load entry that a peer has sent. */
  MergeResult merge(RouterId from, EngineLoadEntry entry) {
    EngineRecord record = keys.find(entry.key());
    if (record == null) {
      return MergeResult.IGNORED;
    }
    return update(from, record, record.expand(entry));
  }

  /** Returns whether no other engine has the key of this one. */
  boolean isKeyUnique(EngineRecord record) {
    return keys.find(record.key()) != null;
  }

  /** Marks observed engines dead that remain unresponsive. */
  void tick() {
    Instant suspectedBefore = context.now().minus(context.options.engineDeadTimeout());
    for (EngineId id : observed) {
      EngineRecord record = records.get(id);
      if (record != null && isUnresponsiveSince(record, suspectedBefore)) {
        record.reachability = Liveness.DEAD;
        publish(record);
      }
    }
  }

  private static boolean isUnresponsiveSince(EngineRecord record, Instant suspectedBefore) {
    return record.version > 0
        && record.reachability == Liveness.SUSPECT
        && record.unansweredProbes > 0
        && !record.suspectedAt.isAfter(suspectedBefore);
  }

  /** Returns the earliest end of a local avoidance, or {@link Instant#MAX}. */
  Instant nextAvoidanceEnd() {
    Instant now = context.now();
    return records.values().stream()
        .map(record -> record.avoidedUntil)
        .filter(end -> end.isAfter(now))
        .min(Comparator.naturalOrder())
        .orElse(Instant.MAX);
  }

  private void addRecord(EngineSpec spec) {
    EngineRecord record = new EngineRecord(spec.id(), spec.dataCentre(), context.options);
    record.weight = weightOf(spec.id());
    record.listedLeaving = listedLeaving.contains(spec.id());
    records.put(spec.id(), record);
    keys.add(record.key(), record);
    context.viewChanged();
  }

  private boolean removeWithdrawn(Set<EngineId> kept) {
    boolean changed = false;
    for (EngineRecord record : List.copyOf(records.values())) {
      if (!kept.contains(record.id)) {
        records.remove(record.id);
        keys.remove(record.key(), record);
        context.remove(subject(record));
        changed = true;
      }
    }
    return changed;
  }

  private double weightOf(EngineId id) {
    Double weight = weights.get(id);
    return weight == null ? 1.0 : weight;
  }

  private void setListedLeaving(EngineId id, boolean leaving) {
    if (leaving) {
      listedLeaving.add(id);
    } else {
      listedLeaving.remove(id);
    }
    EngineRecord record = records.get(id);
    if (record == null || record.listedLeaving == leaving) {
      return;
    }
    record.listedLeaving = leaving;
    record.leaving |= leaving;
    if (leaving) {
      publish(record);
    } else {
      livenessChanged(record);
    }
  }

  private void startIncarnation(EngineRecord record, long incarnation) {
    keys.remove(record.key(), record);
    record.incarnation = incarnation;
    keys.add(record.key(), record);
    record.leaving = record.listedLeaving;
    record.load = null;
    record.publishedLoad = null;
    record.liveSince = null;
    record.reachability = Liveness.SUSPECT;
  }

  private void recordAnswer(EngineRecord record, EngineLoad load) {
    Instant now = context.now();
    record.load = load;
    record.lastAnswerAt = now;
    record.unansweredProbes = 0;
    record.avoidedUntil = Instant.EPOCH;
    if (record.reachability != Liveness.LIVE && record.damper.onAnswer(now)) {
      record.reachability = Liveness.LIVE;
      record.liveSince = now;
    }
  }

  private MergeResult update(RouterId from, EngineRecord record, EngineEntry entry) {
    boolean becomesLeaving = entry.liveness() == Liveness.LEAVING && !record.leaving;
    boolean newer = entry.version() > record.version;
    boolean moreSevere =
        entry.version() == record.version && entry.liveness().compareTo(record.liveness()) > 0;
    if (!newer && !moreSevere && !becomesLeaving) {
      return notNewer(from, record, entry);
    }
    Liveness previous = record.liveness();
    record.leaving |= becomesLeaving;
    if (newer || moreSevere) {
      adopt(from, record, entry);
    }
    if (isContradicted(record)) {
      record.reachability = Liveness.LIVE;
      publish(record);
    } else if (record.liveness() != previous || entry.liveness() != record.liveness()) {
      livenessChanged(record);
    } else {
      context.changed(subject(record), EntryClass.LOAD);
    }
    return MergeResult.APPLIED;
  }

  private static MergeResult notNewer(RouterId from, EngineRecord record, EngineEntry entry) {
    if (entry.version() < record.version) {
      return MergeResult.STALE;
    }
    record.holders.add(from);
    return MergeResult.DUPLICATE;
  }

  /** Returns whether a recent answer to this router contradicts a peer's suspicion. */
  private boolean isContradicted(EngineRecord record) {
    Instant freshSince = context.now().minus(OWN_ANSWER_FRESHNESS);
    return record.reachability != Liveness.LIVE
        && record.liveSince != null
        && observed.contains(record.id)
        && record.lastAnswerAt.isAfter(freshSince);
  }

  private void adopt(RouterId from, EngineRecord record, EngineEntry entry) {
    Instant now = context.now();
    Liveness reachability = entry.liveness() == Liveness.LEAVING ? Liveness.LIVE : entry.liveness();
    if (reachability == Liveness.LIVE && record.reachability != Liveness.LIVE) {
      record.liveSince = now;
      record.suspicionAllowedAt = now.plus(SUSPICION_BACKOFF);
    }
    if (reachability == Liveness.SUSPECT && record.reachability != Liveness.SUSPECT) {
      record.suspectedAt = now;
    }
    record.reachability = reachability;
    record.version = entry.version();
    record.holders.replace(from);
    record.adoptLoad(entry, now);
  }

  /** Publishes a liveness that this router has determined itself. */
  private void publish(EngineRecord record) {
    observe(record, EntryClass.LIVENESS);
    livenessChanged(record);
  }

  private void observe(EngineRecord record, EntryClass entryClass) {
    Instant now = context.now();
    record.version = Math.max(record.version + 1, now.toEpochMilli() >> VERSION_SHIFT);
    record.holders.clear();
    record.publishedLoad = record.load;
    record.publishedAt = now;
    context.changed(subject(record), entryClass);
  }

  private void livenessChanged(EngineRecord record) {
    if (record.version > 0) {
      context.livenessChanged(subject(record), record.incarnation, record.liveness());
    } else {
      context.viewChanged();
    }
  }

  private static Subject.Engine subject(EngineRecord record) {
    return new Subject.Engine(record.id);
  }
}
