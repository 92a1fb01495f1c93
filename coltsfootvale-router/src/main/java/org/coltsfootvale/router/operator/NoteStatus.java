package org.coltsfootvale.router.operator;

import java.util.List;

/**
 * The rollout status of a release note.
 *
 * @param id the note's id
 * @param revision its revision
 * @param routers the routers in the view that are not dead
 * @param inForceEverywhere whether all of them have applied it
 */
public record NoteStatus(
    String id, long revision, List<RouterStatus> routers, boolean inForceEverywhere) {

  /** The newest revision that a router has announced as applied. */
  public record RouterStatus(String router, long appliedRevision, String liveness) {}
}
