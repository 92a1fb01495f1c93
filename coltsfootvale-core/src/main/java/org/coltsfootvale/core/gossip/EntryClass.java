package org.coltsfootvale.core.gossip;

/** The classes of changes, the most urgent one first. */
public enum EntryClass {
  /** A router or an engine is leaving. */
  LEAVING,
  /** Another change of liveness or incarnation. */
  LIVENESS,
  /** A change of only the load or the applied release revision. */
  LOAD
}
