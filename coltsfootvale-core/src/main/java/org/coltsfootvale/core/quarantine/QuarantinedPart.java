package org.coltsfootvale.core.quarantine;

import java.util.List;
import java.util.Set;

/**
 * A prompt part that explains crashes of replicas.
 *
 * @param part the id of the part
 * @param crashes the crashes that it explains, the earliest first
 * @param incidents the number of separate moments at which they occurred
 * @param indistinguishable the parts, this one included, of which any may be the cause, as they
 *     were mostly present at the same crashes
 */
public record QuarantinedPart(
    String part, List<ReplicaCrash> crashes, int incidents, Set<String> indistinguishable) {

  /** Creates a quarantinedPart with copies of the collections. */
  public QuarantinedPart {
    crashes = List.copyOf(crashes);
    indistinguishable = Set.copyOf(indistinguishable);
  }

  /** Returns whether so many crashes are explained that no request in progress can clear it. */
  public boolean confirmed() {
    return incidents >= CrashAttribution.INCIDENTS_SINCE_ANSWER;
  }

  /** Returns the time of the latest crash, on the monotonic clock. */
  public long latestNanos() {
    return crashes.get(crashes.size() - 1).atNanos();
  }
}
