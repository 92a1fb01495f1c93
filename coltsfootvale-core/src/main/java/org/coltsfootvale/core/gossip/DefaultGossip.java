package org.coltsfootvale.core.gossip;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.coltsfootvale.core.model.HostPort;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterId;
import org.coltsfootvale.core.model.RouterIncarnation;
import org.coltsfootvale.core.model.RouterView;

/**
 * Gossip over a bounded mesh of links. Each link records which changes were sent on it, so that an
 * entry is sent once; digests detect entries that a lost message carried. A new release revision
 * and leaving flags are sent at once, other changes at the gossip interval.
 */
public final class DefaultGossip implements Gossip {

  private static final int DIGEST_MISMATCHES_MAX = 4;

  /** The number of links among which the sending half of the budget is divided. */
  private static final int LINKS_SHARING_BUDGET = 5;

  private static final int INBOUND_LINKS_MAX = 64;
  private static final Duration PROCESS_PAUSE_MIN = Duration.ofSeconds(1);
  private static final Duration INBOUND_LINK_RETENTION = Duration.ofSeconds(10);

  private final RouterId self;
  private final EntryStore store;
  private final GossipOptions options;
  private final GossipSizes sizes;
  private final PeerSelector selector;
  private final Supplier<List<HostPort>> seeds;
  private final InstantSource clock;
  private final UniformRandomProvider random;
  private final Object lock = new Object();
  private final Map<RouterId, GossipLink> links = new LinkedHashMap<>();
  private final GossipTraffic traffic;
  private long selectedAtRouterChange = -1;
  private Instant lastTickAt = Instant.EPOCH;
  private Instant lastProbeAt = Instant.EPOCH;
  private Instant lastSeedProbeAt = Instant.EPOCH;

  /**
   * Creates gossip for one router.
   *
   * @param self the router
   * @param store the entries to exchange
   * @param options limits and intervals
   * @param sizes encoded sizes, for the byte budget
   * @param selector selects the peers
   * @param seeds peer addresses for joining the mesh and for reconnecting it after a partition; may
   *     change over time
   * @param clock the clock
   * @param random selects the seeds and the dead routers to probe
   */
  public DefaultGossip(
      RouterIncarnation self,
      EntryStore store,
      GossipOptions options,
      GossipSizes sizes,
      PeerSelector selector,
      Supplier<List<HostPort>> seeds,
      InstantSource clock,
      UniformRandomProvider random) {
    this.self = self.id();
    this.store = store;
    this.options = options;
    this.sizes = sizes;
    this.selector = selector;
    this.seeds = seeds;
    this.clock = clock;
    this.random = random;
    this.traffic = new GossipTraffic(options, clock.instant());
  }

  @Override
  public List<AddressedMessage> dueMessages() {
    synchronized (lock) {
      Instant now = clock.instant();
      restartTimeoutsAfterPause(now);
      refreshLinks(now);
      reportUnresponsivePeers(now);
      List<AddressedMessage> due = new ArrayList<>();
      for (Map.Entry<RouterId, GossipLink> link : links.entrySet()) {
        if (link.getValue().selected && isDue(link.getValue(), now)) {
          compose(link.getKey(), link.getValue(), false, now).ifPresent(due::add);
        }
      }
      probeDeadRouter(now).ifPresent(due::add);
      return due;
    }
  }

  @Override
  public List<SeedMessage> dueSeedMessages() {
    synchronized (lock) {
      Instant now = clock.instant();
      if (now.isBefore(lastSeedProbeAt.plus(options.probeInterval()))) {
        return List.of();
      }
      lastSeedProbeAt = now;
      List<HostPort> candidates = unknownSeeds();
      if (candidates.isEmpty()) {
        return List.of();
      }
      GossipMessage message = message(false, List.of(store.ownEntry()));
      traffic.sent(sizes.ofMessage(message), now);
      return List.of(new SeedMessage(candidates.get(random.nextInt(candidates.size())), message));
    }
  }

  @Override
  public List<AddressedMessage> onMessage(RouterId from, GossipMessage message) {
    synchronized (lock) {
      Instant now = clock.instant();
      traffic.received(sizes.ofMessage(message), now);
      for (GossipEntry entry : message.entries()) {
        if (store.merge(from, entry) == EntryStore.MergeResult.STALE) {
          traffic.stale();
        }
      }
      refreshLinks(now);
      GossipLink link = linkFrom(from, now);
      link.lastReceivedAt = now;
      compareDigests(link, message, now);
      List<AddressedMessage> messages = new ArrayList<>();
      boolean suspectOrDead = isSuspectOrDead(from);
      if (!message.reply() && (!link.selected || suspectOrDead)) {
        compose(from, link, true, now).ifPresent(messages::add);
      }
      addUrgent(messages, now);
      return messages;
    }
  }

  @Override
  public GossipCounters counters() {
    synchronized (lock) {
      return traffic.counters();
    }
  }

  private void refreshLinks(Instant now) {
    long change = store.routerChanges();
    if (change == selectedAtRouterChange) {
      return;
    }
    selectedAtRouterChange = change;
    List<RouterView> routers = notDead();
    Set<RouterId> peers = selector.select(self, routers);
    links.entrySet().removeIf(link -> link.getValue().incarnation != incarnation(link.getKey()));
    for (RouterId peer : peers) {
      long incarnation = incarnation(peer);
      links.computeIfAbsent(peer, key -> newLink(true, incarnation, now)).selected = true;
    }
    for (Map.Entry<RouterId, GossipLink> link : links.entrySet()) {
      if (!peers.contains(link.getKey())) {
        link.getValue().selected = false;
      }
    }
    Instant oldest = now.minus(INBOUND_LINK_RETENTION);
    links.values().removeIf(link -> !link.selected && link.lastReceivedAt.isBefore(oldest));
  }

  private List<RouterView> notDead() {
    return store.routers().stream().filter(router -> router.liveness() != Liveness.DEAD).toList();
  }

  /** Restarts the peer timeouts after a pause of this process. */
  private void restartTimeoutsAfterPause(Instant now) {
    if (now.isAfter(lastTickAt.plus(PROCESS_PAUSE_MIN))) {
      links.values().forEach(link -> link.lastReceivedAt = now);
    }
    lastTickAt = now;
  }

  private void reportUnresponsivePeers(Instant now) {
    Instant oldest = now.minus(options.peerTimeout());
    for (Map.Entry<RouterId, GossipLink> link : links.entrySet()) {
      if (link.getValue().selected && link.getValue().lastReceivedAt.isBefore(oldest)) {
        store.onPeerSilent(link.getKey());
      }
    }
  }

  private GossipLink linkFrom(RouterId from, Instant now) {
    if (!links.containsKey(from) && links.size() >= INBOUND_LINKS_MAX) {
      links.values().removeIf(link -> !link.selected);
    }
    long incarnation = incarnation(from);
    return links.computeIfAbsent(from, key -> newLink(false, incarnation, now));
  }

  private GossipLink newLink(boolean chosen, long incarnation, Instant now) {
    int bytesPerSecond = options.bytesPerSecond() / (2 * LINKS_SHARING_BUDGET);
    int burstBytes = options.burstBytes() / (2 * LINKS_SHARING_BUDGET);
    TokenBucket loadBudget = new TokenBucket(bytesPerSecond, burstBytes, now);
    return new GossipLink(chosen, incarnation, loadBudget, now);
  }

  private long incarnation(RouterId router) {
    return store.router(router).map(view -> view.router().number()).orElse(0L);
  }

  private boolean isSuspectOrDead(RouterId router) {
    return store
        .router(router)
        .map(RouterView::liveness)
        .filter(liveness -> liveness == Liveness.DEAD || liveness == Liveness.SUSPECT)
        .isPresent();
  }

  private boolean isDue(GossipLink link, Instant now) {
    if (isUrgent(link)) {
      return true;
    }
    if (now.isBefore(link.lastSentAt.plus(options.interval()))) {
      return false;
    }
    return !now.isBefore(link.lastSentAt.plus(options.keepAlive())) || hasPending(link, now);
  }

  private boolean isUrgent(GossipLink link) {
    return store.appliedRevision() > link.revisionSent
        || store.hasAfter(EntryClass.LEAVING, link.position(EntryClass.LEAVING));
  }

  private boolean hasPending(GossipLink link, Instant now) {
    for (EntryClass entryClass : EntryClass.values()) {
      if (traffic.allows(entryClass, now)
          && store.hasAfter(entryClass, link.position(entryClass))) {
        return true;
      }
    }
    return false;
  }

  private void addUrgent(List<AddressedMessage> messages, Instant now) {
    Set<RouterId> addressed = new HashSet<>();
    messages.forEach(message -> addressed.add(message.to()));
    for (Map.Entry<RouterId, GossipLink> link : links.entrySet()) {
      if (link.getValue().selected && isUrgent(link.getValue()) && addressed.add(link.getKey())) {
        compose(link.getKey(), link.getValue(), false, now).ifPresent(messages::add);
      }
    }
  }

  /** Returns the message that is due on a link, or empty if there is nothing to send. */
  private Optional<AddressedMessage> compose(
      RouterId to, GossipLink link, boolean reply, Instant now) {
    EntryCollector collector = new EntryCollector(store, options, sizes, traffic);
    if (!link.ownEntrySent) {
      collector.add(store.ownEntry());
      link.ownEntrySent = true;
    }
    if (isSuspectOrDead(to)) {
      store.routerEntry(to).ifPresent(collector::add);
    }
    collector.collect(to, link, now);
    boolean needed =
        reply
            || store.appliedRevision() > link.revisionSent
            || !now.isBefore(link.lastSentAt.plus(options.keepAlive()));
    if (collector.entries().isEmpty() && !needed) {
      return Optional.empty();
    }
    GossipMessage message = message(reply, collector.entries());
    traffic.sent(sizes.ofMessage(message), now);
    link.lastSentAt = now;
    link.revisionSent = message.releaseRevision();
    return Optional.of(new AddressedMessage(to, message));
  }

  private GossipMessage message(boolean reply, List<GossipEntry> entries) {
    return new GossipMessage(reply, store.appliedRevision(), store.digest(), entries);
  }

  private void compareDigests(GossipLink link, GossipMessage message, Instant now) {
    boolean comparable =
        message.releaseRevision() == store.appliedRevision()
            && !store.hasAfter(EntryClass.LIVENESS, link.position(EntryClass.LIVENESS));
    if (!comparable || message.digest() == store.digest()) {
      link.digestMismatches = 0;
      return;
    }
    link.digestMismatches++;
    if (link.digestMismatches >= DIGEST_MISMATCHES_MAX && !now.isBefore(link.syncAllowedAt)) {
      link.resendLiveness(now.plus(options.syncInterval()));
    }
  }

  private Optional<AddressedMessage> probeDeadRouter(Instant now) {
    if (now.isBefore(lastProbeAt.plus(options.probeInterval()))) {
      return Optional.empty();
    }
    lastProbeAt = now;
    List<RouterId> dead =
        store.routers().stream()
            .filter(router -> router.liveness() == Liveness.DEAD)
            .map(router -> router.router().id())
            .sorted()
            .toList();
    if (dead.isEmpty()) {
      return Optional.empty();
    }
    RouterId target = dead.get(random.nextInt(dead.size()));
    List<GossipEntry> entries = new ArrayList<>(List.of(store.ownEntry()));
    store.routerEntry(target).ifPresent(entries::add);
    GossipMessage message = message(false, entries);
    traffic.sent(sizes.ofMessage(message), now);
    return Optional.of(new AddressedMessage(target, message));
  }

  private List<HostPort> unknownSeeds() {
    Set<HostPort> known = new HashSet<>();
    notDead().forEach(router -> known.add(router.peerAddress()));
    return seeds.get().stream().filter(seed -> !known.contains(seed)).toList();
  }
}
