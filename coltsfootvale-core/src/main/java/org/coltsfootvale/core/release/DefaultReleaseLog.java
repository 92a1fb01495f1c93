package org.coltsfootvale.core.release;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.coltsfootvale.core.support.Futures;
import org.jspecify.annotations.Nullable;

/**
 * A release log stored in the platform's key-value service. A note is committed by creating the key
 * of the next revision if absent. Creates no threads: continuations run on the threads that
 * complete the store's futures.
 */
public final class DefaultReleaseLog implements ReleaseLog {

  /** The key prefix of accepted notes; a watch on it reports new ones. */
  public static final String NOTES_PREFIX = NoteKeys.NOTES;

  private static final int CONFLICTS_MAX = 64;
  private static final int PLATFORM_FAILURES_MAX = 3;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final KeyValueStore store;
  private final ReleaseNoteCodec codec;
  private final FleetStateReducer reducer;
  private final InstantSource clock;
  private final ReleaseLogLimits limits;
  private final AppliedNotes applied;
  private final NoteReader reader;
  private final NoteCompaction compaction;

  /** Creates an empty log with the default limits, which is not ready yet. */
  public DefaultReleaseLog(
      KeyValueStore store, ReleaseNoteCodec codec, FleetStateReducer reducer, InstantSource clock) {
    this(store, codec, reducer, clock, ReleaseLogLimits.DEFAULT);
  }

  /** Creates an empty log, which is not ready yet. */
  public DefaultReleaseLog(
      KeyValueStore store,
      ReleaseNoteCodec codec,
      FleetStateReducer reducer,
      InstantSource clock,
      ReleaseLogLimits limits) {
    this.store = store;
    this.codec = codec;
    this.reducer = reducer;
    this.clock = clock;
    this.limits = limits;
    this.applied = new AppliedNotes(reducer, limits.notesRetained() + limits.snapshotInterval());
    this.reader = new NoteReader(store, codec, applied);
    this.compaction = new NoteCompaction(store, codec, limits);
  }

  @Override
  public FleetState current() {
    return applied.current();
  }

  @Override
  public boolean ready() {
    return applied.ready();
  }

  @Override
  public void onPeerRevision(long revision) {
    applied.onPeerRevision(revision);
  }

  @Override
  public List<String> check(ReleaseNote note) {
    reducer.apply(applied.current(), note);
    return reducer.describe(note);
  }

  @Override
  public CompletableFuture<AcceptedNote> submit(ReleaseNote note) {
    return new Submission(note).run();
  }

  @Override
  public CompletableFuture<Long> refresh() {
    return reader.read();
  }

  @Override
  public void applyFromPeer(List<AcceptedNote> notes) {
    notes.forEach(applied::apply);
    if (!notes.isEmpty()) {
      applied.onPeerRevision(notes.get(notes.size() - 1).revision());
    }
  }

  @Override
  public List<AcceptedNote> notesAfter(long revision, int limit) {
    return applied.notesAfter(revision, limit);
  }

  @Override
  public void addListener(Consumer<FleetState> listener) {
    applied.addListener(listener);
  }

  private void checkSize(FleetState state) {
    int bytes = codec.write(FleetSnapshots.of(state)).length;
    if (bytes > limits.stateBytesMax()) {
      throw NoteErrors.invalid(
          "The fleet's state would take "
              + bytes
              + " bytes, but at most "
              + limits.stateBytesMax()
              + " are possible; withdraw what is no longer needed.",
          null);
    }
  }

  /**
   * One submission, retried until the note is committed or refused, or the platform fails
   * repeatedly.
   */
  private final class Submission {

    private final ReleaseNote note;
    private int conflicts;
    private int platformFailures;
    private boolean mayBeCommitted;

    Submission(ReleaseNote note) {
      this.note = note;
    }

    CompletableFuture<AcceptedNote> run() {
      return recoverOnFailure(refresh().thenCompose(revision -> attempt()));
    }

    private CompletableFuture<AcceptedNote> attempt() {
      Optional<AcceptedNote> existing = applied.find(note.id());
      if (existing.isPresent()) {
        return CompletableFuture.completedFuture(requireSameContent(existing.get()));
      }
      FleetState base = applied.current();
      FleetState next = reducer.apply(base, note);
      checkSize(next);
      Instant now = clock.instant().truncatedTo(ChronoUnit.MILLIS);
      AcceptedNote candidate = new AcceptedNote(base.revision() + 1, note, now);
      return recoverOnFailure(
          store
              .createIfAbsent(
                  NoteKeys.note(candidate.revision()),
                  codec.write(candidate),
                  KeyValueStore.NO_LEASE)
              .thenCompose(created -> onCreateResult(candidate, next, created)));
    }

    private CompletableFuture<AcceptedNote> onCreateResult(
        AcceptedNote candidate, FleetState next, OptionalLong created) {
      if (created.isPresent()) {
        mayBeCommitted = true;
        return reader.horizon().thenCompose(horizon -> confirm(candidate, next, horizon));
      }
      if (++conflicts > CONFLICTS_MAX) {
        throw ColtsfootvaleException.notRun(
            ErrorKind.NOTE_CONFLICT, "Too many notes were accepted meanwhile; submit it again.");
      }
      return run();
    }

    private CompletableFuture<AcceptedNote> confirm(
        AcceptedNote candidate, FleetState next, long horizon) {
      if (horizon >= candidate.revision()) {
        return run();
      }
      applied.apply(candidate);
      var unused = compaction.afterCommit(next);
      return CompletableFuture.completedFuture(candidate);
    }

    private AcceptedNote requireSameContent(AcceptedNote existing) {
      if (!existing.note().equals(note)) {
        throw ColtsfootvaleException.notRun(
            ErrorKind.NOTE_CONFLICT,
            "The id '"
                + note.id()
                + "' belongs to another note, accepted as revision "
                + existing.revision()
                + "; give this note an id of its own.");
      }
      return existing;
    }

    private CompletableFuture<AcceptedNote> recoverOnFailure(CompletableFuture<AcceptedNote> step) {
      return Futures.compose(step, this::onAttemptEnded);
    }

    private CompletableFuture<AcceptedNote> onAttemptEnded(
        @Nullable AcceptedNote accepted, @Nullable Throwable failure) {
      if (accepted != null) {
        return CompletableFuture.completedFuture(accepted);
      }
      ColtsfootvaleException error = Failures.typed(failure);
      if (!(error instanceof PlatformException platform)) {
        return CompletableFuture.failedFuture(error);
      }
      mayBeCommitted |= platform.mayHaveTakenEffect();
      if (++platformFailures > PLATFORM_FAILURES_MAX) {
        return CompletableFuture.failedFuture(platformFailed(platform));
      }
      return run();
    }

    private ColtsfootvaleException platformFailed(PlatformException cause) {
      String detail =
          mayBeCommitted
              ? "Whether note '"
                  + note.id()
                  + "' was accepted cannot be told; submit it again"
                  + " unchanged under the same id."
              : "Note '" + note.id() + "' was not accepted; submit it again later.";
      Outcome outcome = mayBeCommitted ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      return new ColtsfootvaleException(
          ErrorKind.PLATFORM_UNAVAILABLE, outcome, detail, RETRY_AFTER, cause);
    }
  }
}
