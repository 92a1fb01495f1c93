package org.coltsfootvale.core.quarantine;

import java.util.Set;
import org.coltsfootvale.core.model.HostPort;

/**
 * The end of one incarnation of a replica while it processed prompts.
 *
 * @param replica the incarnation that ended
 * @param address its address
 * @param parts the ids of the shared parts of the prompts that had no answer yet
 * @param atNanos the time of the end, on the monotonic clock of this router
 */
public record ReplicaCrash(Incarnation replica, HostPort address, Set<String> parts, long atNanos) {

  /**
   * One incarnation of a replica.
   *
   * @param id the id of the replica
   * @param startedMillis the start time in Unix milliseconds
   */
  public record Incarnation(String id, long startedMillis) {}

  /** Returns a copy with other parts. */
  public ReplicaCrash with(Set<String> otherParts) {
    return new ReplicaCrash(replica, address, otherParts, atNanos);
  }

  /** Creates a crash with a copy of the parts. */
  public ReplicaCrash {
    parts = Set.copyOf(parts);
  }
}
