package org.coltsfootvale.core.release;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;

/**
 * Reads the log from the platform. The horizon is read after the notes, because a key below it may
 * have been deleted and created again by a router that was paused; such a note is not part of the
 * log.
 */
final class NoteReader {

  private static final int PAGE_NOTES = 100;

  private final KeyValueStore store;
  private final ReleaseNoteCodec codec;
  private final AppliedNotes applied;

  NoteReader(KeyValueStore store, ReleaseNoteCodec codec, AppliedNotes applied) {
    this.store = store;
    this.codec = codec;
    this.applied = applied;
  }

  /** Applies all notes stored in the platform; returns the newest applied revision. */
  CompletableFuture<Long> read() {
    long next = applied.revision() + 1;
    return store
        .list(NoteKeys.NOTES, NoteKeys.note(next), PAGE_NOTES)
        .thenCompose(page -> horizon().thenCompose(horizon -> applyPage(next, page, horizon)));
  }

  /** Returns the revision up to which notes may have been deleted, 0 if none. */
  CompletableFuture<Long> horizon() {
    return store.get(NoteKeys.HORIZON).thenApply(NoteReader::horizonOf);
  }

  /** Parses the stored horizon, 0 if there is none. */
  static long horizonOf(Optional<KeyValue> value) {
    return value
        .map(entry -> Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8)))
        .orElse(0L);
  }

  private CompletableFuture<Long> applyPage(long first, List<KeyValue> page, long horizon) {
    if (horizon >= first) {
      return loadSnapshot(horizon).thenCompose(loaded -> read());
    }
    long next = first;
    for (KeyValue entry : page) {
      AcceptedNote note = codec.read(entry.value());
      if (note.revision() != next || !entry.key().equals(NoteKeys.note(next))) {
        throw missing("revision " + next);
      }
      applied.apply(note);
      next++;
    }
    if (page.size() == PAGE_NOTES) {
      return read();
    }
    applied.onPlatformRead();
    return CompletableFuture.completedFuture(applied.revision());
  }

  private CompletableFuture<Void> loadSnapshot(long revision) {
    return store
        .get(NoteKeys.snapshot(revision))
        .thenAccept(
            found -> {
              KeyValue entry =
                  found.orElseThrow(() -> missing("the snapshot of revision " + revision));
              applied.apply(codec.read(entry.value()));
            });
  }

  private static ColtsfootvaleException missing(String what) {
    return new ColtsfootvaleException(
        ErrorKind.INTERNAL,
        Outcome.NOT_RUN,
        "The release log lacks " + what + "; restore it in the platform's service.");
  }
}
