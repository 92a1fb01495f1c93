package org.coltsfootvale.core.gossip;

import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/** The state of a router's exchange with one peer. Not thread-safe. */
final class GossipLink {

  private final Map<EntryClass, Long> positions = new EnumMap<>(EntryClass.class);

  /**
   * Whether this router has selected the peer; otherwise only the peer has selected this router.
   */
  boolean selected;

  /** The peer's incarnation number when the link was made, 0 if it was unknown. */
  final long incarnation;

  /** Limits the load entries on this link, so that a peer with many links is not overloaded. */
  final TokenBucket loadBudget;

  boolean ownEntrySent;
  long revisionSent;
  Instant lastSentAt;
  Instant lastReceivedAt;
  Instant syncAllowedAt;
  int digestMismatches;

  /** Creates a link on which nothing has been sent. */
  GossipLink(boolean chosen, long incarnation, TokenBucket loadBudget, Instant now) {
    this.loadBudget = loadBudget;
    this.incarnation = incarnation;
    this.selected = chosen;
    this.lastSentAt = Instant.EPOCH;
    this.lastReceivedAt = now;
    this.syncAllowedAt = now;
  }

  /** Returns the position up to which changes of a class have been sent. */
  long position(EntryClass entryClass) {
    return positions.getOrDefault(entryClass, 0L);
  }

  /** Sets the position of a class. */
  void moveTo(EntryClass entryClass, long sequence) {
    positions.put(entryClass, sequence);
  }

  /** Makes all leaving and liveness entries due again. */
  void resendLiveness(Instant nextSyncAllowedAt) {
    positions.remove(EntryClass.LEAVING);
    positions.remove(EntryClass.LIVENESS);
    digestMismatches = 0;
    syncAllowedAt = nextSyncAllowedAt;
  }
}
