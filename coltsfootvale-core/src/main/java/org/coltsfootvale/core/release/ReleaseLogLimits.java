package org.coltsfootvale.core.release;

import org.coltsfootvale.core.support.Checks;

/**
 * Limits of the release log.
 *
 * @param snapshotInterval the number of revisions between snapshots
 * @param notesRetained the number of notes retained behind the newest snapshot, a multiple of
 *     {@code snapshotInterval}; resubmitting a note is safe at least while it is retained
 * @param stateBytesMax the maximum size of a complete fleet state in compact form, in bytes
 */
public record ReleaseLogLimits(int snapshotInterval, int notesRetained, int stateBytesMax) {

  /** The limits for values of at most 1 MB in the platform's key-value service. */
  public static final ReleaseLogLimits DEFAULT = new ReleaseLogLimits(256, 2048, 900_000);

  /** Validates the limits. */
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
