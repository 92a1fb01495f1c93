package org.coltsfootvale.core.gossip;

import java.time.Instant;

/**
 * Counts gossip traffic and enforces its byte budget. Half of the budget is reserved for sending
 * liveness, so that a router that receives more than its budget still sends its own view. Not
 * thread-safe.
 */
final class GossipTraffic {

  private final GossipOptions options;
  private final TokenBucket budget;
  private final TokenBucket sendingBudget;
  private long messagesSent;
  private long messagesReceived;
  private long bytesSent;
  private long bytesReceived;
  private long entriesHeldBack;
  private long entriesStale;

  /** Creates counters at 0 and a full budget. */
  GossipTraffic(GossipOptions options, Instant now) {
    this.options = options;
    this.budget = new TokenBucket(options.bytesPerSecond(), options.burstBytes(), now);
    this.sendingBudget =
        new TokenBucket(options.bytesPerSecond() / 2, options.burstBytes() / 2, now);
  }

  /** Returns the bytes that entries of a class may use now. */
  double allowance(EntryClass entryClass, Instant now) {
    double available = budget.available(now);
    double forLiveness = Math.max(available, sendingBudget.available(now));
    return switch (entryClass) {
      case LEAVING -> forLiveness + options.burstBytes();
      case LIVENESS -> forLiveness;
      case LOAD -> available - options.loadReserveBytes();
    };
  }

  /** Returns whether entries of a class may be sent now. */
  boolean allows(EntryClass entryClass, Instant now) {
    return allowance(entryClass, now) > 0;
  }

  /** Counts and charges a message that is sent. */
  void sent(int bytes, Instant now) {
    messagesSent++;
    bytesSent += bytes;
    budget.charge(bytes, now);
    sendingBudget.charge(bytes, now);
  }

  /** Counts and charges a message that was received. */
  void received(int bytes, Instant now) {
    messagesReceived++;
    bytesReceived += bytes;
    budget.charge(bytes, now);
  }

  /** Counts a received entry that was older than the current one. */
  void stale() {
    entriesStale++;
  }

  /** Counts entries that are deferred for lack of budget. */
  void heldBack(int entries) {
    entriesHeldBack += entries;
  }

  /** Returns the counters. */
  GossipCounters counters() {
    return new GossipCounters(
        messagesSent, messagesReceived, bytesSent, bytesReceived, entriesHeldBack, entriesStale);
  }
}
