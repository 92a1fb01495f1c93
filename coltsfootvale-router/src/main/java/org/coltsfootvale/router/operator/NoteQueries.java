package org.coltsfootvale.router.operator;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.coltsfootvale.core.model.FleetView;
import org.coltsfootvale.core.model.Liveness;
import org.coltsfootvale.core.model.RouterView;
import org.coltsfootvale.core.release.AcceptedNote;
import org.coltsfootvale.core.release.ReleaseLog;

/** Answers operators' queries about accepted release notes. */
final class NoteQueries {

  private static final int HISTORY_LIMIT_MAX = 1_000;

  private final ReleaseLog log;
  private final Supplier<FleetView> view;

  NoteQueries(ReleaseLog log, Supplier<FleetView> view) {
    this.log = log;
    this.view = view;
  }

  /** Returns retained notes starting at a revision, oldest first. */
  List<NoteSummary> history(long from, int limit) {
    int boundedLimit = Math.max(1, Math.min(limit, HISTORY_LIMIT_MAX));
    return log.notesAfter(Math.max(0, from - 1), boundedLimit).stream()
        .map(NoteSummary::of)
        .toList();
  }

  /** Returns the rollout status of a note, or empty if no retained note has the id. */
  Optional<NoteStatus> status(String id) {
    return log.notesAfter(0, Integer.MAX_VALUE).stream()
        .filter(note -> note.note().id().equals(id))
        .findFirst()
        .map(this::statusOf);
  }

  private NoteStatus statusOf(AcceptedNote note) {
    List<RouterView> routers =
        view.get().routers().values().stream()
            .filter(router -> router.liveness() != Liveness.DEAD)
            .sorted(Comparator.comparing(router -> router.router().id()))
            .toList();
    boolean appliedEverywhere =
        routers.stream().allMatch(r -> r.appliedRevision() >= note.revision());
    return new NoteStatus(
        note.note().id(),
        note.revision(),
        routers.stream().map(NoteQueries::routerStatus).toList(),
        appliedEverywhere);
  }

  private static NoteStatus.RouterStatus routerStatus(RouterView router) {
    return new NoteStatus.RouterStatus(
        router.router().toString(), router.appliedRevision(), router.liveness().name());
  }

  /** An entry of the history. */
  record NoteSummary(String id, long revision, Instant acceptedAt) {

    static NoteSummary of(AcceptedNote note) {
      return new NoteSummary(note.note().id(), note.revision(), note.acceptedAt());
    }
  }
}
