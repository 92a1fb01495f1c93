package org.coltsfootvale.core.model;

/** The state of a router or an engine in the membership view. */
public enum Liveness {
  /** Answers its observers. */
  LIVE,
  /** Has missed heartbeats; may still be alive. */
  SUSPECT,
  /** Finishes its running requests and takes no new ones. */
  LEAVING,
  /** Has not answered within the suspicion timeout. */
  DEAD
}
