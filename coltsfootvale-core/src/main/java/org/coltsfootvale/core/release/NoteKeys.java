package org.coltsfootvale.core.release;

/** The keys of the release log in the platform's key-value service. */
final class NoteKeys {

  /** The key prefix of accepted notes. */
  static final String NOTES = "coltsfootvale/notes/";

  /** The key that holds the horizon: the revision up to which notes may be deleted. */
  static final String HORIZON = "coltsfootvale/notes-horizon";

  private static final String SNAPSHOTS = "coltsfootvale/snapshots/";

  private NoteKeys() {}

  /** Returns the key of an accepted note. */
  static String note(long revision) {
    return String.format("%s%012d", NOTES, revision);
  }

  /** Returns the key of the snapshot of a revision. */
  static String snapshot(long revision) {
    return String.format("%s%012d", SNAPSHOTS, revision);
  }
}
