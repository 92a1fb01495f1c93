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
import org.coltsfootvale.core.platform.KeyValue;
import org.coltsfootvale.core.platform.KeyValueStore;
import org.coltsfootvale.core.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/**
 * The release log over the platform's key-value service. Creating the key of the next revision if
 * absent is the commit. Owns no threads: continuations run on the threads that complete the store's
 * futures.
 */
public final class DefaultReleaseLog implements ReleaseLog {

  /** The prefix of the keys of accepted notes. */
  public static final String NOTES_PREFIX = "coltsfootvale/notes/";

  private static final int PAGE_NOTES = 100;
  private static final int RACES_MAX = 64;
  private static final int PLATFORM_FAILURES_MAX = 3;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final KeyValueStore store;
  private final ReleaseNoteCodec codec;
  private final FleetStateReducer reducer;
  private final InstantSource clock;
  private final AppliedNotes applied;

  /** Creates an empty log that is not ready. */
  public DefaultReleaseLog(
      KeyValueStore store, ReleaseNoteCodec codec, FleetStateReducer reducer, InstantSource clock) {
    this.store = store;
    this.codec = codec;
    this.reducer = reducer;
    this.clock = clock;
    this.applied = new AppliedNotes(reducer);
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
    return readFrom(applied.revision() + 1);
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

  /** Returns the platform's key of a revision. */
  static String noteKey(long revision) {
    return String.format("%s%012d", NOTES_PREFIX, revision);
  }

  private CompletableFuture<Long> readFrom(long revision) {
    return store
        .list(NOTES_PREFIX, noteKey(revision), PAGE_NOTES)
        .thenCompose(page -> applyPage(revision, page));
  }

  private CompletableFuture<Long> applyPage(long revision, List<KeyValue> page) {
    long next = revision;
    for (KeyValue entry : page) {
      AcceptedNote note = codec.read(entry.value());
      if (note.revision() != next || !entry.key().equals(noteKey(next))) {
        throw new ColtsfootvaleException(
            ErrorKind.INTERNAL,
            Outcome.NOT_RUN,
            "The release log lacks revision " + next + "; restore it in the platform's service.");
      }
      applied.apply(note);
      next++;
    }
    if (page.size() == PAGE_NOTES) {
      return readFrom(next);
    }
    applied.onPlatformRead();
    return CompletableFuture.completedFuture(applied.revision());
  }

  /** One submission: retried until the note is committed, refused, or the platform fails. */
  private final class Submission {

    private final ReleaseNote note;
    private int races;
    private int platformFailures;
    private boolean mayBeCommitted;

    Submission(ReleaseNote note) {
      this.note = note;
    }

    CompletableFuture<AcceptedNote> run() {
      return guard(refresh().thenCompose(revision -> attempt()));
    }

    private CompletableFuture<AcceptedNote> attempt() {
      Optional<AcceptedNote> known = applied.find(note.id());
      if (known.isPresent()) {
        return CompletableFuture.completedFuture(same(known.get()));
      }
      FleetState base = applied.current();
      reducer.apply(base, note);
      Instant now = clock.instant().truncatedTo(ChronoUnit.MILLIS);
      AcceptedNote candidate = new AcceptedNote(base.revision() + 1, note, now);
      return guard(
          store
              .createIfAbsent(
                  noteKey(candidate.revision()), codec.write(candidate), KeyValueStore.NO_LEASE)
              .thenCompose(created -> settle(candidate, created)));
    }

    private CompletableFuture<AcceptedNote> settle(AcceptedNote candidate, OptionalLong created) {
      if (created.isPresent()) {
        applied.apply(candidate);
        return CompletableFuture.completedFuture(candidate);
      }
      if (++races > RACES_MAX) {
        throw ColtsfootvaleException.notRun(
            ErrorKind.NOTE_CONFLICT, "Too many notes were accepted meanwhile; submit it again.");
      }
      return run();
    }

    private AcceptedNote same(AcceptedNote known) {
      if (!known.note().equals(note)) {
        throw ColtsfootvaleException.notRun(
            ErrorKind.NOTE_CONFLICT,
            "The id '"
                + note.id()
                + "' belongs to another note, accepted as revision "
                + known.revision()
                + "; give this note an id of its own.");
      }
      return known;
    }

    private CompletableFuture<AcceptedNote> guard(CompletableFuture<AcceptedNote> step) {
      return step.handle(this::recover).thenCompose(next -> next);
    }

    private CompletableFuture<AcceptedNote> recover(
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
        return CompletableFuture.failedFuture(unsettled(platform));
      }
      return run();
    }

    private ColtsfootvaleException unsettled(PlatformException cause) {
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
