package org.coltsfootvale.core.release;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;

/**
 * Bounds the size of the log in the platform: writes snapshots, advances the horizon to an older
 * snapshot, and then deletes the notes up to it. Each step may fail or be interrupted; a later
 * compaction completes it.
 */
final class NoteCompaction {

  private static final int PAGE_NOTES = 100;

  private final KeyValueStore store;
  private final ReleaseNoteCodec codec;
  private final ReleaseLogLimits limits;

  NoteCompaction(KeyValueStore store, ReleaseNoteCodec codec, ReleaseLogLimits limits) {
    this.store = store;
    this.codec = codec;
    this.limits = limits;
  }

  /** Compacts the log if a snapshot is due at this state; never fails. */
  CompletableFuture<Void> afterCommit(FleetState state) {
    if (state.revision() % limits.snapshotInterval() != 0) {
      return CompletableFuture.completedFuture(null);
    }
    long horizon = state.revision() - limits.notesRetained();
    return store
        .createIfAbsent(
            NoteKeys.snapshot(state.revision()),
            codec.write(FleetSnapshots.of(state)),
            KeyValueStore.NO_LEASE)
        .thenCompose(created -> advanceHorizon(horizon))
        .exceptionally(failure -> null);
  }

  private CompletableFuture<Void> advanceHorizon(long horizon) {
    if (horizon <= 0) {
      return CompletableFuture.completedFuture(null);
    }
    return store
        .get(NoteKeys.snapshot(horizon))
        .thenCompose(
            snapshot ->
                snapshot.isEmpty()
                    ? CompletableFuture.completedFuture(null)
                    : store
                        .get(NoteKeys.HORIZON)
                        .thenCompose(current -> writeHorizon(horizon, current)));
  }

  private CompletableFuture<Void> writeHorizon(long horizon, Optional<KeyValue> current) {
    long previousHorizon = NoteReader.horizonOf(current);
    if (previousHorizon >= horizon) {
      return CompletableFuture.completedFuture(null);
    }
    byte[] value = Long.toString(horizon).getBytes(StandardCharsets.UTF_8);
    CompletableFuture<Boolean> written =
        current.isEmpty()
            ? store
                .createIfAbsent(NoteKeys.HORIZON, value, KeyValueStore.NO_LEASE)
                .thenApply(revision -> revision.isPresent())
            : store
                .compareAndSwap(
                    NoteKeys.HORIZON, value, current.get().modRevision(), KeyValueStore.NO_LEASE)
                .thenApply(revision -> revision.isPresent());
    return written.thenCompose(
        advanced ->
            advanced
                ? deleteNotes(horizon).thenCompose(done -> deleteSnapshot(previousHorizon))
                : CompletableFuture.completedFuture(null));
  }

  private CompletableFuture<Void> deleteNotes(long horizon) {
    return store
        .list(NoteKeys.NOTES, NoteKeys.NOTES, PAGE_NOTES)
        .thenCompose(page -> deletePage(page, horizon));
  }

  private CompletableFuture<Void> deletePage(List<KeyValue> page, long horizon) {
    String last = NoteKeys.note(horizon);
    List<KeyValue> old = page.stream().filter(entry -> entry.key().compareTo(last) <= 0).toList();
    CompletableFuture<Void> deleted = CompletableFuture.completedFuture(null);
    for (KeyValue entry : old) {
      deleted =
          deleted
              .thenCompose(done -> store.delete(entry.key(), entry.modRevision()))
              .thenAccept(done -> {});
    }
    boolean more = old.size() == PAGE_NOTES;
    return more ? deleted.thenCompose(done -> deleteNotes(horizon)) : deleted;
  }

  private CompletableFuture<Void> deleteSnapshot(long revision) {
    String key = NoteKeys.snapshot(revision);
    return store
        .get(key)
        .thenCompose(
            found ->
                found.isEmpty()
                    ? CompletableFuture.completedFuture(false)
                    : store.delete(key, found.get().modRevision()))
        .thenAccept(done -> {});
  }
}
