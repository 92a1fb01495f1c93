package org.coltsfootvale.core.gossip;

/** The encoded sizes of messages and entries, for the byte budget. */
public interface GossipSizes {

  /** Returns the bytes of a complete frame. */
  int ofMessage(GossipMessage message);

  /** Returns the bytes that an entry adds to a frame, rounded up. */
  int ofEntry(GossipEntry entry);
}
