package org.coltsfootvale.core.release;

import java.time.Instant;

/**
 * An accepted release note.
 *
 * @param revision its position in the log, from 1
 * @param note the note
 * @param acceptedAt the submitting router's time at the commit
 */
public record AcceptedNote(long revision, ReleaseNote note, Instant acceptedAt) {}
