package org.coltsfootvale.core.gossip;

/** The encoded sizes of gossip, by which the byte budget is kept. */
public interface GossipSizes {

  /** Returns the bytes of a whole frame. */
  int ofMessage(GossipMessage message);

  /** Returns the bytes that an entry adds to a frame, rounded up. */
  int ofEntry(GossipEntry entry);
}
