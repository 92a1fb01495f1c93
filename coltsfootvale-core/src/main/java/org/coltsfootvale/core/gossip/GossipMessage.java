package org.coltsfootvale.core.gossip;

import java.util.List;

/**
 * A push or pull message.
 *
 * @param reply whether it answers a push and is not answered itself
 * @param releaseRevision the sender's newest applied release revision
 * @param digest a hash of the sender's liveness and incarnations, by which peers detect lost
 *     entries
 * @param entries the versioned entries
 */
public record GossipMessage(
    boolean reply, long releaseRevision, long digest, List<GossipEntry> entries) {

  /** Copies the list. */
  public GossipMessage {
    entries = List.copyOf(entries);
  }
}
