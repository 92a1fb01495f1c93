package org.coltsfootvale.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.coltsfootvale.core.replica.Replica;
import org.coltsfootvale.core.support.RendezvousHashing;

/** How long one replica counts as cold, and what was sent to it. Confined to one thread. */
final class ColdReplica {

  /**
   * The window for sent requests. It is longer than the second of the bound, because requests take
   * differing times to reach the replica.
   */
  private static final Duration WINDOW = Duration.ofMillis(1_250);

  private final String id;
  private final long idHash;
  private final Deque<Long> sentNanos = new ArrayDeque<>();

  /** The placed requests that are not sent yet. */
  private final Set<DispatchRequest> reserved = Collections.newSetFromMap(new IdentityHashMap<>());

  /** The requests in progress that were counted when they were sent. */
  private final Set<DispatchRequest> counted = Collections.newSetFromMap(new IdentityHashMap<>());

  private long startedMillis;
  private long coldUntilNanos;
  private long suspectedUntilNanos;
  private boolean cold;
  private List<String> routers = List.of();
  private List<String> senders = List.of();

  ColdReplica(Replica replica, long nowNanos) {
    this.id = replica.id();
    this.idHash = RendezvousHashing.hash(id);
    this.startedMillis = replica.startedMillis();
    this.coldUntilNanos = nowNanos;
    this.suspectedUntilNanos = nowNanos;
  }

  String id() {
    return id;
  }

  /**
   * Applies an entry. Only a later start ends a known cold time early; entries may arrive out of
   * order.
   */
  void onEntry(Replica replica, long nowNanos) {
    long until = nowNanos + replica.coldLeft().toNanos();
    if (replica.startedMillis() > startedMillis) {
      startedMillis = replica.startedMillis();
      coldUntilNanos = until;
      suspectedUntilNanos = nowNanos;
    } else if (until - coldUntilNanos > 0) {
      coldUntilNanos = until;
    }
  }

  void suspectUntil(long untilNanos) {
    suspectedUntilNanos = untilNanos;
  }

  boolean coldByEntry(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  boolean suspected(long nowNanos) {
    return suspectedUntilNanos - nowNanos > 0;
  }

  long leftNanos(long nowNanos) {
    return Math.max(coldUntilNanos - nowNanos, suspectedUntilNanos - nowNanos);
  }

  /** Records whether the replica counts as cold; returns whether that has changed. */
  boolean changeTo(boolean latest) {
    boolean changed = cold != latest;
    cold = latest;
    return changed;
  }

  /** Returns whether nothing of this state is needed any more. */
  boolean expired(long nowNanos) {
    return leftNanos(nowNanos) <= 0 && used(nowNanos) == 0 && counted.isEmpty();
  }

  /** Returns the requests sent in the window, and those that are placed and not sent yet. */
  int used(long nowNanos) {
    while (!sentNanos.isEmpty() && nowNanos - sentNanos.getFirst() >= WINDOW.toNanos()) {
      sentNanos.removeFirst();
    }
    return sentNanos.size() + reserved.size();
  }

  void reserve(DispatchRequest request) {
    reserved.add(request);
  }

  void withdraw(DispatchRequest request) {
    reserved.remove(request);
  }

  void onAttemptEnded(DispatchRequest request) {
    reserved.remove(request);
    counted.remove(request);
  }

  void countSent(DispatchRequest request, long nowNanos) {
    counted.add(request);
    sentNanos.addLast(nowNanos);
  }

  /**
   * Takes back a counted request that was not sent after all. The oldest time is removed, whichever
   * was its own, so that the window opens no earlier than it may.
   */
  void uncountSent(DispatchRequest request) {
    if (counted.remove(request)) {
      sentNanos.pollFirst();
    }
  }

  /** Returns whether a router is one of those that may send to the replica. */
  boolean mayBeSentToBy(String routerId, List<String> latest) {
    if (latest != routers) {
      routers = latest;
      senders =
          latest.stream()
              .sorted(
                  Comparator.comparingDouble(this::score)
                      .reversed()
                      .thenComparing(Comparator.naturalOrder()))
              .limit(ColdAdmission.ROUTERS_PER_REPLICA)
              .toList();
    }
    return senders.contains(routerId);
  }

  private double score(String routerId) {
    return RendezvousHashing.score(idHash, RendezvousHashing.hash(routerId), 1);
  }
}
