package org.coltsfootvale.core.gossip;

/** The classes of changes, the most urgent one first. */
public enum EntryClass {
  /** A router or an engine has begun to leave. */
  LEAVING,
  /** Another change of liveness or incarnation. */
  LIVENESS,
  /** A change of load or of the applied release revision alone. */
  LOAD
}
