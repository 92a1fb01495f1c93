package org.coltsfootvale.verify.slopes;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.gossip.EntryClass;
import org.coltsfootvale.core.gossip.EntryKeys;
import org.coltsfootvale.core.gossip.EntryStore;
import org.coltsfootvale.core.gossip.Gossip;
import org.coltsfootvale.core.gossip.GossipCounters;
import org.coltsfootvale.core.gossip.GossipEntry;
import org.coltsfootvale.core.gossip.GossipMessage;
import org.coltsfootvale.core.gossip.GossipOptions;
import org.coltsfootvale.core.gossip.GossipSizes;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;

/**
 * Baseline gossip: sends every change to uniform random peers, least often sent first, within the
 * same byte budget. The number of sends grows with the logarithm of the fleet's size.
 */
final class UniformGossip implements Gossip {

  private static final double SENDS_FACTOR = 1.5;
  private static final int PEERS_PER_ROUND = 2;
  private static final int ENTRIES_READ_MAX = 10_000;
  private static final GossipOptions OPTIONS = GossipOptions.DEFAULT;

  private final RouterId self;
  private final EntryStore store;
  private final GossipSizes sizes;
  private final InstantSource clock;
  private final UniformRandomProvider random;
  private final Map<EntryClass, Long> positions = new HashMap<>();
  private final Map<Object, PendingEntry> pendingEntries = new HashMap<>();
  private long lastRevision;
  private int revisionSends;
  private Instant sentAt = Instant.EPOCH;
  private Instant refilledAt;
  private double availableBytes = OPTIONS.burstBytes();
  private long messagesSent;
  private long messagesReceived;
  private long bytesSent;
  private long bytesReceived;
  private long heldBack;
  private long stale;

  UniformGossip(
      RouterIncarnation self,
      EntryStore store,
      GossipSizes sizes,
      InstantSource clock,
      UniformRandomProvider random) {
    this.self = self.id();
    this.store = store;
    this.sizes = sizes;
    this.clock = clock;
    this.random = random;
    this.refilledAt = clock.instant();
  }

  @Override
  public List<AddressedMessage> dueMessages() {
    readChanges();
    Instant now = clock.instant();
    boolean urgent =
        revisionSends > 0
            || pendingEntries.values().stream()
                .anyMatch(pending -> pending.urgent && pending.sends == 0);
    Duration sinceSend = Duration.between(sentAt, now);
    if (!urgent && sinceSend.compareTo(OPTIONS.interval()) < 0) {
      return List.of();
    }
    if (!urgent && pendingEntries.isEmpty() && sinceSend.compareTo(OPTIONS.keepAlive()) < 0) {
      return List.of();
    }
    sentAt = now;
    List<AddressedMessage> due = new ArrayList<>();
    List<RouterId> peers = peers();
    for (int peer = 0; peer < PEERS_PER_ROUND && !peers.isEmpty(); peer++) {
      due.add(compose(peers.get(random.nextInt(peers.size()))));
    }
    revisionSends = Math.max(0, revisionSends - 1);
    return due;
  }

  @Override
  public List<AddressedMessage> onMessage(RouterId from, GossipMessage message) {
    int bytes = sizes.ofMessage(message);
    messagesReceived++;
    bytesReceived += bytes;
    consumeBudget(bytes);
    for (GossipEntry entry : message.entries()) {
      if (store.merge(from, entry) == EntryStore.MergeResult.STALE) {
        stale++;
      }
    }
    return List.of();
  }

  @Override
  public GossipCounters counters() {
    return new GossipCounters(
        messagesSent, messagesReceived, bytesSent, bytesReceived, heldBack, stale);
  }

  private void readChanges() {
    for (EntryClass entryClass : EntryClass.values()) {
      long position = positions.getOrDefault(entryClass, 0L);
      for (EntryStore.Change change : store.changesAfter(entryClass, position, ENTRIES_READ_MAX)) {
        position = change.sequence();
        pendingEntries.put(
            entryKey(change.entry()),
            new PendingEntry(change.entry(), entryClass == EntryClass.LEAVING, rank(entryClass)));
      }
      positions.put(entryClass, position);
    }
    if (store.appliedRevision() > lastRevision) {
      lastRevision = store.appliedRevision();
      revisionSends = sendsMax();
    }
  }

  private AddressedMessage compose(RouterId to) {
    refillBudget();
    List<PendingEntry> order = new ArrayList<>(pendingEntries.values());
    order.sort(
        Comparator.<PendingEntry>comparingInt(pending -> pending.rank)
            .thenComparingInt(pending -> pending.sends));
    List<GossipEntry> entries = new ArrayList<>();
    int bytes = 0;
    for (PendingEntry pending : order) {
      double reserve = pending.rank == rank(EntryClass.LOAD) ? OPTIONS.loadReserveBytes() : 0;
      boolean full = entries.size() >= OPTIONS.entriesPerMessageMax();
      if (full || (!pending.urgent && bytes >= availableBytes - reserve)) {
        heldBack++;
        continue;
      }
      entries.add(pending.entry);
      bytes += sizes.ofEntry(pending.entry);
      pending.sends++;
    }
    pendingEntries.values().removeIf(pending -> pending.sends >= sendsMax());
    GossipMessage message =
        new GossipMessage(false, store.appliedRevision(), store.digest(), entries);
    int size = sizes.ofMessage(message);
    messagesSent++;
    bytesSent += size;
    consumeBudget(size);
    return new AddressedMessage(to, message);
  }

  private int sendsMax() {
    return (int) Math.ceil(SENDS_FACTOR * Math.log(store.routers().size() + 1.0));
  }

  private List<RouterId> peers() {
    return store.routers().stream()
        .filter(router -> router.liveness() != Liveness.DEAD)
        .map(router -> router.router().id())
        .filter(id -> !id.equals(self))
        .toList();
  }

  private static int rank(EntryClass entryClass) {
    return switch (entryClass) {
      case LEAVING -> 0;
      case LIVENESS -> 1;
      case LOAD -> 2;
    };
  }

  private void consumeBudget(int bytes) {
    refillBudget();
    availableBytes = Math.max(-OPTIONS.burstBytes(), availableBytes - bytes);
  }

  private void refillBudget() {
    double seconds = Duration.between(refilledAt, clock.instant()).toMillis() / 1000.0;
    refilledAt = clock.instant();
    availableBytes =
        Math.min(OPTIONS.burstBytes(), availableBytes + seconds * OPTIONS.bytesPerSecond());
  }

  private static Object entryKey(GossipEntry entry) {
    if (entry instanceof GossipEntry.RouterEntry router) {
      return EntryKeys.of(router.router());
    }
    if (entry instanceof GossipEntry.RouterLoadEntry load) {
      return load.key();
    }
    if (entry instanceof GossipEntry.EngineLoadEntry load) {
      return load.key();
    }
    GossipEntry.EngineEntry engine = (GossipEntry.EngineEntry) entry;
    return EntryKeys.of(engine.engine(), engine.incarnation());
  }

  private static final class PendingEntry {

    private final GossipEntry entry;
    private final boolean urgent;
    private final int rank;
    private int sends;

    private PendingEntry(GossipEntry entry, boolean urgent, int rank) {
      this.entry = entry;
      this.urgent = urgent;
      this.rank = rank;
    }
  }
}
