package org.coltsfootvale.core.release;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.error.ErrorKind;
import org.coltsfootvale.core.error.Failures;
import org.coltsfootvale.core.error.Outcome;
import org.coltsfootvale.core.model.ModelId;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Call;
import org.coltsfootvale.core.replay.ScriptedKeyValueStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DefaultReleaseLogTest {

  private ScriptedKeyValueStore store = new ScriptedKeyValueStore();

  @BeforeMethod
  public void resetStore() {
    store = new ScriptedKeyValueStore();
  }

  @Test
  public void acceptedNoteIsReadByEveryRouter() {
    DefaultReleaseLog first = log();
    DefaultReleaseLog second = log();
    assertEquals(first.submit(Notes.fleet()).join().revision(), 1);
    assertEquals(second.refresh().join().longValue(), 1);
    assertEquals(second.current(), first.current());
  }

  @Test
  public void submissionWithLostReplyIsReadBack() {
    DefaultReleaseLog log = log();
    store.loseReplies(Call.CREATE, 1);
    assertEquals(log.submit(Notes.fleet()).join().revision(), 1);
    assertEquals(store.keys(DefaultReleaseLog.NOTES_PREFIX).size(), 1);
  }

  @Test
  public void sameNoteThroughAnotherRouterIsAcceptedOnce() {
    log().submit(Notes.fleet()).join();
    assertEquals(log().submit(Notes.fleet()).join().revision(), 1);
    assertEquals(store.keys(DefaultReleaseLog.NOTES_PREFIX).size(), 1);
  }

  @Test
  public void usedIdWithDifferentContentIsRefused() {
    DefaultReleaseLog log = log();
    log.submit(Notes.model("a", "m1")).join();
    assertRefused(log.submit(Notes.model("a", "m2")), ErrorKind.NOTE_CONFLICT);
  }

  @Test
  public void concurrentSubmissionIsValidatedAgainstNewState() {
    DefaultReleaseLog first = log();
    DefaultReleaseLog second = log();
    store.setFault(Fault.HOLD_CALLS);
    CompletableFuture<AcceptedNote> one = first.submit(Notes.model("a", "m"));
    CompletableFuture<AcceptedNote> conflicting = second.submit(Notes.model("b", "m"));
    CompletableFuture<AcceptedNote> other = log().submit(Notes.model("c", "n"));
    store.releaseHeld();
    assertEquals(one.join().revision(), 1);
    assertRefused(conflicting, ErrorKind.NOTE_CONFLICT);
    assertEquals(other.join().revision(), 2);
    assertEquals(store.keys(DefaultReleaseLog.NOTES_PREFIX).size(), 2);
  }

  @Test
  public void outageRefusesNoteWithoutEffect() {
    DefaultReleaseLog log = log();
    store.setFault(Fault.OUTAGE);
    ColtsfootvaleException e = assertRefused(log.submit(Notes.fleet()), PLATFORM_ERROR);
    assertEquals(e.outcome(), Outcome.NOT_RUN);
    store.setFault(Fault.NONE);
    assertEquals(log.refresh().join().longValue(), 0);
  }

  @Test
  public void routerIsReadyOnlyAtHighestReceivedRevision() {
    DefaultReleaseLog source = log();
    source.submit(Notes.model("a", "m1")).join();
    source.submit(Notes.model("b", "m2")).join();
    DefaultReleaseLog fresh = log();
    assertFalse(fresh.ready());
    fresh.onPeerRevision(2);
    fresh.applyFromPeer(source.notesAfter(0, 1));
    assertFalse(fresh.ready());
    fresh.applyFromPeer(source.notesAfter(1, 10));
    assertTrue(fresh.ready());
  }

  @Test
  public void peerWithoutRevisionDoesNotMakeRouterReady() {
    DefaultReleaseLog fresh = log();
    fresh.onPeerRevision(0);
    assertFalse(fresh.ready());
  }

  @Test
  public void outOfOrderAndOldNotesAreIgnored() {
    DefaultReleaseLog source = log();
    source.submit(Notes.model("a", "m1")).join();
    source.submit(Notes.changedModel("b", "m1", 5)).join();
    DefaultReleaseLog fresh = log();
    List<Long> revisions = new ArrayList<>();
    fresh.addListener(state -> revisions.add(state.revision()));
    fresh.applyFromPeer(source.notesAfter(1, 10));
    fresh.applyFromPeer(source.notesAfter(0, 10));
    fresh.applyFromPeer(source.notesAfter(0, 1));
    assertEquals(revisions, List.of(1L, 2L));
    assertEquals(fresh.current().models().get(new ModelId("m1")), new ModelSpec(M1, 5));
  }

  @Test
  public void compactedLogIsReadFromSnapshot() {
    DefaultReleaseLog writer = smallLog();
    submitModels(writer, 1, 13);
    assertTrue(store.keys(NoteKeys.NOTES).size() <= 8, store.keys(NoteKeys.NOTES).toString());
    DefaultReleaseLog fresh = smallLog();
    assertEquals(fresh.refresh().join().longValue(), 13);
    assertEquals(fresh.current(), writer.current());
    assertTrue(fresh.ready());
    assertEquals(fresh.submit(Notes.model("n13", "m13")).join().revision(), 13);
  }

  @Test
  public void peerStartsFromSnapshotOfAnotherPeer() {
    DefaultReleaseLog writer = smallLog();
    submitModels(writer, 1, 13);
    DefaultReleaseLog fresh = smallLog();
    fresh.applyFromPeer(writer.notesAfter(0, 100));
    assertEquals(fresh.current(), writer.current());
  }

  @Test
  public void pausedWriterCannotCommitBelowHorizon() {
    DefaultReleaseLog writer = smallLog();
    DefaultReleaseLog paused = smallLog();
    submitModels(writer, 1, 1);
    store.setFault(Fault.HOLD_REPLIES);
    CompletableFuture<AcceptedNote> late = paused.submit(Notes.model("late", "m-late"));
    store.setFault(Fault.NONE);
    submitModels(writer, 2, 13);
    store.releaseHeld();
    assertEquals(late.join().revision(), 14);
    assertEquals(writer.refresh().join().longValue(), 14);
    assertEquals(writer.current(), paused.current());
  }

  @Test
  public void stateTooLargeForSnapshotIsRefused() {
    DefaultReleaseLog log =
        new DefaultReleaseLog(
            store,
            new YamlReleaseNoteCodec(),
            new DefaultFleetStateReducer(),
            () -> Instant.EPOCH,
            new ReleaseLogLimits(4, 4, 100));
    assertRefused(log.submit(Notes.fleet()), ErrorKind.INVALID_NOTE);
  }

  private static void submitModels(DefaultReleaseLog log, int from, int to) {
    for (int i = from; i <= to; i++) {
      log.submit(Notes.model("n" + i, "m" + i)).join();
    }
  }

  private DefaultReleaseLog smallLog() {
    return new DefaultReleaseLog(
        store,
        new YamlReleaseNoteCodec(),
        new DefaultFleetStateReducer(),
        () -> Instant.ofEpochMilli(1000),
        new ReleaseLogLimits(4, 4, 900_000));
  }

  private static final ErrorKind PLATFORM_ERROR = ErrorKind.PLATFORM_UNAVAILABLE;
  private static final ModelId M1 = new ModelId("m1");

  private DefaultReleaseLog log() {
    return new DefaultReleaseLog(
        store,
        new YamlReleaseNoteCodec(),
        new DefaultFleetStateReducer(),
        () -> Instant.ofEpochMilli(1000));
  }

  private static ColtsfootvaleException assertRefused(
      CompletableFuture<AcceptedNote> submission, ErrorKind kind) {
    CompletionException e = expectThrows(CompletionException.class, submission::join);
    ColtsfootvaleException cause = Failures.typed(e);
    assertEquals(cause.kind(), kind);
    return cause;
  }
}
