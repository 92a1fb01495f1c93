package org.coltsfootvale.core.release;

import org.coltsfootvale.core.support.Checks;

/**
 * Bounds of the release log.
 *
 * @param snapshotInterval the number of revisions between snapshots
 * @param notesRetained the number of notes kept behind the newest snapshot, a multiple of {@code
 *     snapshotInterval}; the id of a note is known, and resubmitting it safe, for at least as long
 * @param stateBytesMax the largest compact form of a whole fleet state
 */
public record ReleaseLogLimits(int snapshotInterval, int notesRetained, int stateBytesMax) {

  /** The bounds for values of at most 1 MB in the platform's service. */
  public static final ReleaseLogLimits DEFAULT = new ReleaseLogLimits(256, 2048, 900_000);

  /** Checks the bounds. */
  public ReleaseLogLimits {
    Checks.argument(
        snapshotInterval >= 1, "snapshotInterval must be at least 1, but is %d", snapshotInterval);
    Checks.argument(
        notesRetained >= snapshotInterval && notesRetained % snapshotInterval == 0,
        "notesRetained %d must be a multiple of snapshotInterval %d",
        notesRetained,
        snapshotInterval);
  }
}
