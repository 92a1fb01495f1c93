package org.coltsfootvale.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootvale.core.gossip.EntryClass;
import org.coltsfootvale.core.gossip.EntryStore.MergeResult;
import org.coltsfootvale.core.gossip.GossipEntry.RouterEntry;
import org.coltsfootvale.core.gossip.GossipEntry.RouterLoadEntry;
import org.coltsfootvale.core.membership.Membership.ListedHost;
import org.coltsfootvale.core.model.DataCentreId;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;
import org.jspecify.annotations.Nullable;

/** One router's view of the routers. Guarded by the lock of its owner. */
final class RouterTable {

  private static final Duration SUSPICION_BACKOFF_MIN = Duration.ofSeconds(2);
  private static final int SUSPICION_BACKOFF_DOUBLINGS_MAX = 5;

  private final MembershipContext context;
  private final RouterRecord self;
  private final Map<RouterId, RouterRecord> records = new HashMap<>();
  private final KeyIndex<RouterRecord> keys = new KeyIndex<>();

  /** Creates a table that contains this router alone. */
  RouterTable(MembershipContext context, RouterRecord self) {
    this.context = context;
    this.self = self;
    self.version = 1;
    put(self);
    publish(self);
  }

  /** Returns this router's own record. */
  RouterRecord self() {
    return self;
  }

  /** Returns the record of a router, or null. */
  @Nullable RouterRecord find(RouterId id) {
    return records.get(id);
  }

  /** Returns all views by id. */
  Map<RouterId, RouterView> views() {
    Map<RouterId, RouterView> views = new HashMap<>();
    records.forEach((id, record) -> views.put(id, record.view()));
    return views;
  }

  /** Returns the routers that can observe engines. */
  List<RouterView> observers() {
    return records.values().stream()
        .filter(record -> record.liveness() == Liveness.LIVE)
        .map(RouterRecord::view)
        .toList();
  }

  /** Merges an entry that a peer has sent. */
  MergeResult merge(RouterId from, RouterEntry entry) {
    if (entry.router().id().equals(self.router.id())) {
      return mergeOwn(entry);
    }
    RouterRecord record = records.get(entry.router().id());
    if (record == null || record.router.number() < entry.router().number()) {
      return add(from, record, entry);
    }
    if (record.router.number() > entry.router().number()) {
      return MergeResult.STALE;
    }
    return update(from, record, entry);
  }

  /** Merges a load entry that a peer has sent. */
  MergeResult merge(RouterId from, RouterLoadEntry entry) {
    RouterRecord record = keys.find(entry.key());
    if (record == null) {
      return MergeResult.IGNORED;
    }
    if (record == self) {
      return MergeResult.DUPLICATE;
    }
    Liveness liveness = record.leaving ? Liveness.LEAVING : Liveness.LIVE;
    return update(
        from,
        record,
        new RouterEntry(
            record.router,
            entry.version(),
            liveness,
            null,
            null,
            null,
            entry.load(),
            entry.appliedRevision()));
  }

  /** Returns whether no other router has the key of this one. */
  boolean isKeyUnique(RouterRecord record) {
    return keys.find(record.key) != null;
  }

  /** Applies the routers of the platform's host list. */
  void onHostList(Collection<ListedHost> hosts, Instant asOf) {
    for (ListedHost host : hosts) {
      if (host.kind() != ListedHost.Kind.ROUTER || !host.leaving()) {
        continue;
      }
      RouterRecord record = records.get(new RouterId(host.id()));
      if (record != null && record.router.number() <= asOf.toEpochMilli()) {
        markLeaving(record);
      }
    }
  }

  /** Records that a peer has answered this router directly. */
  void onAlive(RouterIncarnation peer) {
    RouterRecord record = records.get(peer.id());
    if (record == null) {
      return;
    }
    if (record.router.number() < peer.number()) {
      setReachability(record, Liveness.DEAD);
      return;
    }
    record.refutations = 0;
    record.suspicionAllowedAt = Instant.EPOCH;
  }

  /** Suspects a peer, unless it has refuted a suspicion a short time ago. */
  void onSilent(RouterId peer) {
    RouterRecord record = records.get(peer);
    if (record == null || record == self || record.reachability != Liveness.LIVE) {
      return;
    }
    if (!context.now().isBefore(record.suspicionAllowedAt)) {
      setReachability(record, Liveness.SUSPECT);
    }
  }

  /** Marks this router as leaving. */
  void leave() {
    markLeaving(self);
  }

  /** Sets the applied revision of this router. */
  void onAppliedRevision(long revision) {
    if (revision > self.appliedRevision) {
      self.appliedRevision = revision;
      self.version++;
      context.changed(subject(self), EntryClass.LOAD);
    }
  }

  /** Sets the load of this router, unless the change is small. */
  void onOwnLoad(int load) {
    Integer current = self.load;
    if (current == null || Math.abs(current - load) >= context.options.ownLoadChange()) {
      self.load = load;
      self.version++;
      context.changed(subject(self), EntryClass.LOAD);
    }
  }

  /** Marks routers dead after the suspicion timeout and removes them after the retention period. */
  void tick() {
    Instant now = context.now();
    Instant suspectedBefore = now.minus(context.options.suspicionTimeout());
    Instant deadBefore = now.minus(context.options.deadRetention());
    for (RouterRecord record : List.copyOf(records.values())) {
      if (record.reachability == Liveness.SUSPECT && !record.changedAt.isAfter(suspectedBefore)) {
        setReachability(record, Liveness.DEAD);
      } else if (record.reachability == Liveness.DEAD && record.changedAt.isBefore(deadBefore)) {
        records.remove(record.router.id());
        keys.remove(record.key, record);
        context.remove(subject(record));
      }
    }
  }

  /** Restarts the suspicion timeouts after this process was paused. */
  void restartSuspicions() {
    for (RouterRecord record : records.values()) {
      if (record.reachability == Liveness.SUSPECT) {
        record.changedAt = context.now();
      }
    }
  }

  private MergeResult mergeOwn(RouterEntry entry) {
    if (entry.router().number() < self.router.number()) {
      return MergeResult.STALE;
    }
    if (entry.router().number() > self.router.number() || entry.liveness() == Liveness.LEAVING) {
      markLeaving(self);
      return MergeResult.APPLIED;
    }
    boolean refutable =
        entry.version() >= self.version
            && (entry.liveness() == Liveness.SUSPECT || entry.liveness() == Liveness.DEAD);
    if (!refutable) {
      return MergeResult.DUPLICATE;
    }
    self.version = entry.version() + 1;
    publish(self);
    return MergeResult.APPLIED;
  }

  private MergeResult add(RouterId from, @Nullable RouterRecord previous, RouterEntry entry) {
    DataCentreId dataCentre = entry.dataCentre();
    HostPort callerAddress = entry.callerAddress();
    HostPort peerAddress = entry.peerAddress();
    if (dataCentre == null || callerAddress == null || peerAddress == null) {
      return MergeResult.IGNORED;
    }
    boolean hasCapacity = previous != null || records.size() < context.options.routersMax();
    if (!hasCapacity || (previous == null && entry.liveness() == Liveness.DEAD)) {
      return MergeResult.IGNORED;
    }
    RouterRecord record =
        new RouterRecord(entry.router(), dataCentre, callerAddress, peerAddress, context.now());
    markReplacedDead(record);
    put(record);
    adopt(from, record, entry);
    record.leaving = entry.liveness() == Liveness.LEAVING;
    publish(record);
    return MergeResult.APPLIED;
  }

  /**
   * Marks older routers with the same peer address dead, because a replacement host may reuse an
   * address.
   */
  private void markReplacedDead(RouterRecord added) {
    for (RouterRecord record : records.values()) {
      boolean replaced =
          record != self
              && record.peerAddress.equals(added.peerAddress)
              && !record.router.id().equals(added.router.id())
              && record.router.number() < added.router.number();
      if (replaced && record.reachability != Liveness.DEAD) {
        setReachability(record, Liveness.DEAD);
      }
    }
  }

  private MergeResult update(RouterId from, RouterRecord record, RouterEntry entry) {
    boolean becomesLeaving = entry.liveness() == Liveness.LEAVING && !record.leaving;
    boolean newer = entry.version() > record.version;
    boolean moreSevere =
        entry.version() == record.version && entry.liveness().compareTo(record.liveness()) > 0;
    if (!newer && !moreSevere && !becomesLeaving) {
      return notNewer(from, record, entry);
    }
    Liveness previous = record.liveness();
    Liveness previousReachability = record.reachability;
    record.leaving |= becomesLeaving;
    if (newer || moreSevere) {
      adopt(from, record, entry);
    }
    boolean cleared = previousReachability != Liveness.LIVE && record.reachability == Liveness.LIVE;
    if (cleared) {
      delayNextSuspicion(record);
    }
    if (record.liveness() != previous || cleared || entry.dataCentre() != null) {
      publish(record);
    } else {
      context.changed(subject(record), EntryClass.LOAD);
    }
    return MergeResult.APPLIED;
  }

  private static MergeResult notNewer(RouterId from, RouterRecord record, RouterEntry entry) {
    if (entry.version() < record.version) {
      return MergeResult.STALE;
    }
    record.holders.add(from);
    return MergeResult.DUPLICATE;
  }

  private void put(RouterRecord record) {
    RouterRecord previous = records.put(record.router.id(), record);
    if (previous != null) {
      keys.remove(previous.key, previous);
    }
    keys.add(record.key, record);
  }

  private void adopt(RouterId from, RouterRecord record, RouterEntry entry) {
    Liveness reachability = entry.liveness() == Liveness.LEAVING ? Liveness.LIVE : entry.liveness();
    if (reachability != record.reachability) {
      record.reachability = reachability;
      record.changedAt = context.now();
    }
    record.version = entry.version();
    record.load = entry.load();
    record.appliedRevision = Math.max(record.appliedRevision, entry.appliedRevision());
    record.holders.replace(from);
  }

  private void delayNextSuspicion(RouterRecord record) {
    int doublings = Math.min(record.refutations, SUSPICION_BACKOFF_DOUBLINGS_MAX);
    record.refutations++;
    Duration backoff = SUSPICION_BACKOFF_MIN.multipliedBy(1L << doublings);
    record.suspicionAllowedAt = context.now().plus(backoff);
  }

  private void markLeaving(RouterRecord record) {
    if (record.leaving) {
      return;
    }
    record.leaving = true;
    record.holders.clear();
    if (record == self) {
      self.version++;
    }
    publish(record);
  }

  private void setReachability(RouterRecord record, Liveness reachability) {
    if (record.reachability == reachability) {
      return;
    }
    record.reachability = reachability;
    record.changedAt = context.now();
    record.holders.clear();
    publish(record);
  }

  private void publish(RouterRecord record) {
    context.routerChanged(subject(record), record.router.number(), record.liveness());
  }

  private static Subject.Router subject(RouterRecord record) {
    return new Subject.Router(record.router.id());
  }
}
